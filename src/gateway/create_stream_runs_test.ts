import { test } from "uvu";
import * as assert from "uvu/assert";
import { createStreamRuns, type OpenRun } from "./create_stream_runs.ts";
import type { Call, ServingContext } from "./types.ts";

const CALL = { route: { maxAttempts: 2 }, service: "s" } as unknown as Call;

const CONTEXT = {
  engines: {
    get: () => ({}),
    hasEnded: () => false,
    isKnownEnded: () => false,
    listUsable: () =>
      ["e1", "e2", "e3"].map((engineId, inFlight) => ({
        record: { engineId },
        inFlight,
        otherRequests: 0,
      })),
  },
  livenessCheck: {},
  getTable: () => undefined,
} as unknown as ServingContext;

const startRun = (engineId: string) =>
  ({ path: [{ engineId }] }) as unknown as OpenRun;

const forwardRun = (vm: string) => ({ vm, path: [] }) as unknown as OpenRun;

test("a stream may run elsewhere while its route allows it, but not where it runs", () => {
  const runs = createStreamRuns(CALL, CONTEXT);
  const run = startRun("e1");
  runs.add(run);
  runs.note(run);
  runs.setAside(run);
  assert.ok(runs.mayRunAgain());
  assert.equal(runs.listSpentEngines(), ["e1"]);
});

test("a stream with as many open runs as its route allows may not run again", () => {
  const runs = createStreamRuns(CALL, CONTEXT);
  for (const run of [startRun("e1"), startRun("e2")]) {
    runs.add(run);
    runs.note(run);
    runs.setAside(run);
  }
  assert.not(runs.mayRunAgain());
});

test("a stream may run again on an engine whose run another one has replaced", () => {
  const runs = createStreamRuns(CALL, CONTEXT);
  const [first, second] = [startRun("e1"), startRun("e2")];
  runs.add(first);
  runs.note(first);
  runs.setAside(first);
  runs.add(second);
  runs.note(second);
  assert.equal(runs.resume(first), [second]);
  assert.ok(runs.mayRunAgain());
  runs.setAside(first);
  assert.equal(runs.listSpentEngines(), ["e1", "e3"]);
});

test("a run at another gateway counts once, and as an upstream of its own", () => {
  const runs = createStreamRuns(CALL, CONTEXT);
  const run = forwardRun("g2");
  runs.add(run);
  runs.note(run);
  runs.note(run);
  assert.is(runs.getCount(), 1);
  assert.ok(runs.mayRunAgain());
  runs.setAside(run);
  const other = forwardRun("g3");
  runs.add(other);
  runs.note(other);
  assert.not(runs.mayRunAgain());
});

test.run();
