/**
 * Guards against runs that can't be moved off an engine that leaves. Where no data
 * centre held all layers, each path used several of them, and a move looked for engines
 * in the first one's alone: a stream tried eleven times in three seconds to leave a
 * draining engine, without a path, until the engine was gone and the stream broke.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { MOVED_CALL } from "../../test/support/make_holder_context.ts";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { makeLayeredModel } from "../../test/support/make_layered_model.ts";
import { createEngineTable } from "./create_engine_table.ts";
import { findAlternatePath } from "./find_alternate_path.ts";
import type { ServingContext } from "./types.ts";

const RANGES = {
  first: { fromLayer: 0, toLayer: 3 },
  middle: { fromLayer: 3, toLayer: 6 },
  last: { fromLayer: 6, toLayer: 8 },
};

/** Engines of three data centres, by name: "q middle 1". */
function makePlaces(names: readonly string[]) {
  const engines = createEngineTable({
    now: () => 0,
    log: () => {},
    onRemoved: () => {},
  });
  const getRange = (name: string) =>
    RANGES[name.split(" ")[1] as keyof typeof RANGES];
  engines.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: names.map((name) =>
      makeEngineRecord(name, {
        place: name.split(" ")[0],
        layers: getRange(name),
        card: "card",
        slots: 8,
      })
    ),
    gone: [],
  });
  const context = {
    engines,
    getTable: () => ({ getService: () => ({ model: makeLayeredModel() }) }),
    getGatewayCount: () => 1,
    now: () => 0,
  } as unknown as ServingContext;
  const makePath = (...ids: readonly string[]) =>
    ids.map((engineId) => ({
      engineId,
      address: `${engineId}:80`,
      ...getRange(engineId),
    }));
  const findWithout = (excludedId: string, path: ReturnType<typeof makePath>) =>
    findAlternatePath(MOVED_CALL, context, {
      path,
      excluded: new Set([excludedId]),
    })?.map(({ engineId }) => engineId);
  return { engines, makePath, findWithout };
}

test("a run over several data centres moves to an engine in any of them", () => {
  const { makePath, findWithout } = makePlaces([
    "p first 1",
    "q middle 1",
    "q middle 2",
    "p last 1",
  ]);
  const path = makePath("p first 1", "q middle 1", "p last 1");
  assert.equal(findWithout("q middle 1", path), [
    "p first 1",
    "q middle 2",
    "p last 1",
  ]);
});

test("where no data centre holds all layers, a run moves to a further one", () => {
  const { engines, makePath, findWithout } = makePlaces([
    "p first 1",
    "p middle 1",
    "q middle 2",
    "p last 1",
  ]);
  const path = makePath("p first 1", "p middle 1", "p last 1");
  assert.is(findWithout("p middle 1", path), undefined);
  const record = engines.get("p middle 1")?.record;
  assert.ok(record);
  engines.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [{ ...record, isLeaving: true }],
    gone: [],
  });
  assert.equal(findWithout("p middle 1", path), [
    "p first 1",
    "q middle 2",
    "p last 1",
  ]);
});

test("a run moves no more where too many prompts are on the link", () => {
  const { engines, makePath, findWithout } = makePlaces([
    "p first 1",
    "q middle 1",
    "q middle 2",
    "p last 1",
  ]);
  const path = makePath("p first 1", "q middle 1", "p last 1");
  for (let prompts = 0; prompts < 4; prompts++) engines.beginPrefill(path);
  assert.is(findWithout("q middle 1", path), undefined);
});

test("a run within a data centre doesn't leave it where another one holds all layers", () => {
  const { makePath, findWithout } = makePlaces([
    "p first 1",
    "p middle 1",
    "p last 1",
    "q first 1",
    "q middle 1",
    "q last 1",
  ]);
  const path = makePath("p first 1", "p middle 1", "p last 1");
  assert.is(findWithout("p middle 1", path), undefined);
});

test.run();
