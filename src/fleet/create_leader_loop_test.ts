import { test } from "uvu";
import * as assert from "uvu/assert";
import { createListeningClock, type ListeningClock } from "../clocks/index.ts";
import { createLeaderLoop } from "./create_leader_loop.ts";

/** Ms without a heartbeat after which an upstream counts as failed. */
const HEARTBEAT_TIMEOUT_MS = 3_000;

/** Ms between two rounds. */
const ROUND_MS = 250;

function startLoop(
  options: {
    readonly isFirstStart: boolean;
    readonly listening?: Pick<ListeningClock, "tick">;
  },
) {
  const calls: string[] = [];
  const addCall = (name: string) => () => void calls.push(name);
  const addAsyncCall = (name: string) => () => {
    calls.push(name);
    return Promise.resolve();
  };
  const state = { isLeading: true, ledMs: 0 };
  const loop = createLeaderLoop({
    isLeading: () => state.isLeading,
    listening: options.listening ?? { tick: () => {} },
    isFirstStart: options.isFirstStart,
    sessions: {
      tick: addCall("sessions"),
      publishLoads: addCall("loads"),
      publishAllEngines: addCall("all engines"),
    },
    registry: {
      tick: addCall("engines"),
      getRecords: () => [],
      knowsAll: () => state.ledMs >= HEARTBEAT_TIMEOUT_MS,
    },
    paceMonitor: { tick: addAsyncCall("paces") },
    quarantine: { tick: () => {} },
    retryLender: { tick: () => {} },
    recorders: [{ run: addAsyncCall("recorder") }],
    layerManager: { run: addAsyncCall("layers") },
    log: () => {},
  });
  return { loop, calls, state };
}

test("a new leader removes no engine and orders no layers before it knows all engines", () => {
  const { loop, calls, state } = startLoop({ isFirstStart: false });
  loop.tick();
  assert.equal(calls.splice(0), ["sessions", "paces", "recorder"]);
  state.ledMs = HEARTBEAT_TIMEOUT_MS;
  loop.tick();
  for (const name of ["loads", "engines", "all engines", "layers"]) {
    assert.ok(calls.includes(name));
  }
});

test("a new fleet's layers are placed at once, and all engines are published once", async () => {
  const { loop, calls, state } = startLoop({ isFirstStart: true });
  loop.tick();
  assert.ok(calls.includes("layers"));
  await Promise.resolve();
  state.ledMs = HEARTBEAT_TIMEOUT_MS;
  loop.tick();
  loop.tick();
  assert.is(calls.filter((name) => name === "all engines").length, 1);
  loop.reset();
  loop.tick();
  assert.is(calls.filter((name) => name === "all engines").length, 2);
});

test("a process that does not lead does nothing", () => {
  const { loop, calls, state } = startLoop({ isFirstStart: true });
  state.isLeading = false;
  loop.tick();
  assert.equal(calls, []);
});

// Heartbeats are rejected without a lease. If that time counted as silence, all engines
// would be removed as soon as the lease is back.
test("time without a lease does not count as silence of engines", () => {
  let nowMs = 0;
  const listening = createListeningClock({
    now: () => nowMs,
    tickIntervalMs: ROUND_MS,
  });
  const { loop, state } = startLoop({ isFirstStart: false, listening });
  const runRounds = (count: number) => {
    for (let round = 0; round < count; round++) {
      nowMs += ROUND_MS;
      loop.tick();
    }
  };
  runRounds(4);
  state.isLeading = false;
  runRounds(20);
  state.isLeading = true;
  runRounds(4);
  // The first round after a change still counts by the state before it.
  assert.is(listening.now(), 8 * ROUND_MS);
});

test.run();
