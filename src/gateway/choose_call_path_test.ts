import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { makeLayeredModel } from "../../test/support/make_layered_model.ts";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import type { LayerRange } from "../engines/index.ts";
import { chooseCallPath, findDetour } from "./choose_call_path.ts";
import { createEngineNotices } from "./create_engine_notices.ts";
import { createEngineTable } from "./create_engine_table.ts";
import type { Call, ServingContext } from "./types.ts";

const MODEL = makeLayeredModel();

const CALL = {
  service: "s",
  request: { promptTokens: 20, answerTokens: 20 },
} as Call;

const LOWER: LayerRange = { fromLayer: 0, toLayer: 4 };
const UPPER: LayerRange = { fromLayer: 4, toLayer: 8 };

/** Two engines for each half of the layers. */
function makeFleet() {
  const clock = { ms: 0 };
  const notices = createEngineNotices({
    steadyNow: () => clock.ms,
    random: () => 0,
    log: () => {},
    metrics: { count: () => {} },
  });
  const engines = createEngineTable({
    now: () => clock.ms,
    log: () => {},
    onGone: () => {},
    notices,
  });
  const records = Object.entries({ a1: LOWER, a2: LOWER, b1: UPPER, b2: UPPER })
    .map(([engineId, layers]) =>
      makeEngineRecord(engineId, { layers, card: "card", slots: 8 })
    );
  engines.take({ type: "engines", isWhole: true, engines: records, gone: [] });
  const context = {
    engines,
    notices,
    rateLimits: makeRateLimits({ now: () => clock.ms }),
    place: "p",
    now: () => clock.ms,
    random: () => 0.5,
    getTable: () => ({ getService: () => ({ model: MODEL }) }),
    getGatewayCount: () => 1,
    listGatewayPlaces: () => ["p"],
    rates: { getAskedPerS: () => undefined },
    exchanger: { hasIdleConnection: () => true },
  } as unknown as ServingContext;
  const rest = (engineId: string, backOffMs: number) =>
    notices.take(engineId, { backOffMs, isLeaving: false });
  const choose = (excluded: readonly string[] = []) =>
    chooseCallPath(CALL, context, {
      excluded: new Set(excluded),
      need: { tokens: 20, isNew: true },
    });
  return { clock, context, notices, rest, choose };
}

function listIds(choice: ReturnType<typeof chooseCallPath>): string[] {
  if (choice.type !== "path") return [choice.type];
  return choice.path.map(({ engineId }) => engineId);
}

test("a path doesn't begin at an engine that has no send left", async () => {
  const { context, choose } = makeFleet();
  const { rateLimits } = context;
  rateLimits.takeTold([{ engineId: "a1", limitPerS: 1, version: 1 }]);
  rateLimits.takeTold([{ engineId: "b1", limitPerS: 1, version: 2 }]);
  // Without a leader there is nothing in hand at first.
  await rateLimits.request("a1");
  await rateLimits.request("b1");
  // What comes after the first engine gets nothing from gateways.
  assert.equal(listIds(choose()), ["a2", "b1"]);
});

test("where all that could begin are at their limits, it is known until when", async () => {
  const { context, choose } = makeFleet();
  const { rateLimits } = context;
  for (const engineId of ["a1", "a2"]) {
    rateLimits.takeTold([{ engineId, limitPerS: 1, version: 1 }]);
    await rateLimits.request(engineId);
  }
  assert.equal(choose(), { type: "limited", leftMs: 500 });
  assert.equal(choose(["a1"]), { type: "limited", leftMs: 500 });
  // One that failed this call but isn't limited may serve it yet.
  rateLimits.takeTold([{ engineId: "a2", limitPerS: null, version: 2 }]);
  assert.is(choose(["a2"]).type, "missing");
  assert.equal(listIds(choose()), ["a2", "b1"]);
});

test("neither the first nor the last engine of a path is one that rests", () => {
  const { rest, choose } = makeFleet();
  rest("a1", 500);
  rest("b2", 500);
  assert.equal(listIds(choose()), ["a2", "b1"]);
});

test("nor is one that has said that it leaves", () => {
  const { notices, choose } = makeFleet();
  notices.take("a2", { isLeaving: true });
  notices.take("b1", { isLeaving: true });
  assert.equal(listIds(choose()), ["a1", "b2"]);
});

test("where rests leave no path it is told when there is one", () => {
  const { clock, rest, choose } = makeFleet();
  rest("a1", 500);
  rest("a2", 300);
  rest("b1", 900);
  assert.equal(choose(), { type: "resting", leftMs: 300 });
  clock.ms = 300;
  assert.equal(listIds(choose()), ["a2", "b2"]);
});

test("who failed the call is missing, not resting", () => {
  const { choose } = makeFleet();
  assert.equal(choose(["a1", "a2"]), { type: "missing" });
});

test("a running stream is not moved over one that rests", () => {
  const { context, rest } = makeFleet();
  const path = [
    { engineId: "a1", address: "a1:80", ...LOWER },
    { engineId: "b1", address: "b1:80", ...UPPER },
  ];
  const excluded = new Set(["b1"]);
  const detour = findDetour(CALL, context, { path, excluded });
  assert.equal(detour?.map(({ engineId }) => engineId), ["a1", "b2"]);
  rest("b2", 500);
  assert.is(findDetour(CALL, context, { path, excluded }), undefined);
});

/** One first engine, two for each of the other ranges. */
function makeStreamPath() {
  const ranges = {
    f: { fromLayer: 0, toLayer: 2 },
    m1: { fromLayer: 2, toLayer: 5 },
    m2: { fromLayer: 2, toLayer: 5 },
    z1: { fromLayer: 5, toLayer: 8 },
    z2: { fromLayer: 5, toLayer: 8 },
  };
  const { context } = makeFleet();
  const records = Object.entries(ranges).map(([engineId, layers]) =>
    makeEngineRecord(engineId, { layers, card: "card", slots: 8 })
  );
  const { engines } = context;
  engines.take({ type: "engines", isWhole: true, engines: records, gone: [] });
  const path = (["f", "m1", "z1"] as const).map((engineId) => ({
    engineId,
    address: `${engineId}:80`,
    ...ranges[engineId],
  }));
  const fill = (engineId: "m2" | "z1", tokens: number) =>
    engines.addWork([{ engineId, ...ranges[engineId] }], { tokens });
  const findIds = () =>
    findDetour(CALL, context, { path, excluded: new Set(["m1"]) })
      ?.map(({ engineId }) => engineId);
  return { fill, findIds };
}

test("a stream that is moved stays on the engines that have read it", () => {
  const { fill, findIds } = makeStreamPath();
  fill("z1", 200);
  assert.equal(findIds(), ["f", "m2", "z1"]);
});

test("a stream is not moved to an engine whose memory has no room for it", () => {
  const { fill, findIds } = makeStreamPath();
  fill("m2", 3_000_000);
  assert.is(findIds(), undefined);
});

test.run();
