import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  makeHolderContext,
  MOVED_CALL,
} from "../../test/support/make_holder_context.ts";
import type { QuarantineVerdict } from "./create_quarantine.ts";
import type { AddressedPart } from "./protocol.ts";
import { moveOffEngine, recoverStalledRun } from "./recover_stalled_run.ts";
import type { Call, ServingContext } from "./types.ts";

const PATH: readonly AddressedPart[] = [
  { engineId: "e1", address: "e1:80", fromLayer: 0, toLayer: 4 },
  { engineId: "e2", address: "e2:80", fromLayer: 4, toLayer: 8 },
];

function makeContext(
  verdict: QuarantineVerdict,
  { backOffLeftMs = 0 }: { readonly backOffLeftMs?: number } = {},
) {
  const pathSearches: string[] = [];
  const context = {
    quarantine: { judge: () => verdict },
    engines: { get: () => undefined, suspect: () => {} },
    notices: {
      getBackOffLeftMs: (engineId: string) =>
        engineId === "e1" ? backOffLeftMs : 0,
    },
    stallReports: {
      read: () => Promise.resolve([{ requestId: "r", address: "e2:80" }]),
    },
    getTable: () => {
      pathSearches.push("looked for another path");
      return undefined;
    },
    log: () => {},
  } as unknown as ServingContext;
  return { context, pathSearches };
}

const CALL = { request: { requestId: "r" }, requestKey: "k" } as Call;

for (const type of ["trial", "held"] as const) {
  test(`a run whose request is on ${type} is not moved to other engines`, async () => {
    const { context, pathSearches } = makeContext({
      type,
      leftMs: 1_000,
      requestKey: "k",
      suspectKey: "k",
    });
    const options = { path: PATH, excluded: new Set<string>() };
    const moveOptions = { ...options, engineId: "e2" };
    assert.is(await moveOffEngine(CALL, context, moveOptions), undefined);
    const recovery = await recoverStalledRun(CALL, context, options);
    assert.is(recovery.type, "lost");
    assert.equal(pathSearches, []);
  });
}

test("a run moves while a part of its prompt awaits its trial", async () => {
  const requestKey = "part:a1";
  const { context, pathSearches } = makeContext({ type: "trial", requestKey });
  await moveOffEngine(CALL, context, {
    path: PATH,
    excluded: new Set<string>(),
    engineId: "e2",
  });
  assert.is(pathSearches.length, 1);
});

test("a run whose request is free looks for another path", async () => {
  const { context, pathSearches } = makeContext({ type: "free" });
  const options = { path: PATH, excluded: new Set<string>(), engineId: "e2" };
  await moveOffEngine(CALL, context, options);
  assert.is(pathSearches.length, 1);
});

test("a first engine that asked for a back-off gets no command to move a run", async () => {
  const { context, pathSearches } = makeContext({ type: "free" }, {
    backOffLeftMs: 9,
  });
  const options = { path: PATH, excluded: new Set<string>() };
  const moveOptions = { ...options, engineId: "e2" };
  assert.is(await moveOffEngine(CALL, context, moveOptions), undefined);
  assert.is((await recoverStalledRun(CALL, context, options)).type, "lost");
  assert.equal(pathSearches, []);
});

const MOVE = { path: PATH, excluded: new Set<string>(), engineId: "e2" };

test("a run takes a second path where the first one has another lost engine", async () => {
  const { context, triedEngineIds } = makeHolderContext(
    ["e2", "e3", "e4"],
    ["e3"],
  );
  const path = await moveOffEngine(MOVED_CALL, context, MOVE);
  assert.equal(triedEngineIds, ["e3", "e4"]);
  assert.equal(path?.map(({ engineId }) => engineId), ["e1", "e4"]);
});

test("a move ends after four rejected paths", async () => {
  const holders = ["e3", "e4", "e5", "e6", "e7", "e8"];
  const { context, triedEngineIds } = makeHolderContext(
    ["e2", ...holders],
    holders,
  );
  assert.is(await moveOffEngine(MOVED_CALL, context, MOVE), undefined);
  assert.equal(triedEngineIds, ["e3", "e4", "e5", "e6"]);
});

test.run();
