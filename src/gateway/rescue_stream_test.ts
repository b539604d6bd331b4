import { test } from "uvu";
import * as assert from "uvu/assert";
import type { QuarantineVerdict } from "./create_quarantine.ts";
import type { AddressedPart } from "./protocol.ts";
import { moveOffEngine, rescueStream } from "./rescue_stream.ts";
import type { Call, ServingContext } from "./types.ts";

const PATH: readonly AddressedPart[] = [
  { engineId: "e1", address: "e1:80", fromLayer: 0, toLayer: 4 },
  { engineId: "e2", address: "e2:80", fromLayer: 4, toLayer: 8 },
];

function makeContext(
  verdict: QuarantineVerdict,
  { backOffLeftMs = 0 }: { readonly backOffLeftMs?: number } = {},
) {
  const moves: string[] = [];
  const context = {
    quarantine: { judge: () => verdict },
    engines: { get: () => undefined, suspect: () => {} },
    notices: {
      getBackOffLeftMs: (engineId: string) =>
        engineId === "e1" ? backOffLeftMs : 0,
    },
    stallWatch: {
      ask: () => Promise.resolve([{ requestId: "r", address: "e2:80" }]),
    },
    getTable: () => {
      moves.push("looked for another path");
      return undefined;
    },
    log: () => {},
  } as unknown as ServingContext;
  return { context, moves };
}

const CALL = { request: { requestId: "r" }, requestKey: "k" } as Call;

for (const type of ["trial", "held"] as const) {
  test(`a run whose request is on ${type} is not moved to other engines`, async () => {
    const { context, moves } = makeContext({ type, leftMs: 1_000 });
    const options = { path: PATH, excluded: new Set<string>() };
    const leaving = { ...options, engineId: "e2" };
    assert.is(await moveOffEngine(CALL, context, leaving), undefined);
    const rescue = await rescueStream(CALL, context, options);
    assert.is(rescue.type, "lost");
    assert.equal(moves, []);
  });
}

test("another run is moved where there is a path", async () => {
  const { context, moves } = makeContext({ type: "free" });
  const options = { path: PATH, excluded: new Set<string>(), engineId: "e2" };
  await moveOffEngine(CALL, context, options);
  assert.is(moves.length, 1);
});

test("a first engine that wants rest gets no order to move a run", async () => {
  const { context, moves } = makeContext({ type: "free" }, {
    backOffLeftMs: 9,
  });
  const options = { path: PATH, excluded: new Set<string>() };
  const leaving = { ...options, engineId: "e2" };
  assert.is(await moveOffEngine(CALL, context, leaving), undefined);
  assert.is((await rescueStream(CALL, context, options)).type, "lost");
  assert.equal(moves, []);
});

test.run();
