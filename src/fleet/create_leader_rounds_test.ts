import { test } from "uvu";
import * as assert from "uvu/assert";
import { createListeningClock, type ListeningClock } from "../clocks/index.ts";
import { createLeaderRounds } from "./create_leader_rounds.ts";

/** Ms without a heartbeat after which an upstream counts as failed. */
const SILENCE_MS = 3_000;

/** Ms between two rounds. */
const ROUND_MS = 250;

function startRounds(
  options: {
    readonly isFirstStart: boolean;
    readonly listening?: Pick<ListeningClock, "look">;
  },
) {
  const calls: string[] = [];
  const note = (name: string) => () => void calls.push(name);
  const noteRun = (name: string) => () => {
    calls.push(name);
    return Promise.resolve();
  };
  const state = { isLeading: true, ledMs: 0 };
  const rounds = createLeaderRounds({
    isLeading: () => state.isLeading,
    listening: options.listening ?? { look: () => {} },
    listensFor: (spanMs) => state.ledMs >= spanMs,
    isFirstStart: options.isFirstStart,
    sessions: {
      tick: note("sessions"),
      publishLoads: note("loads"),
      publishAllEngines: note("all engines"),
    },
    registry: {
      tick: note("engines"),
      getRecords: () => [],
      knowsAll: () => state.ledMs >= SILENCE_MS,
    },
    paces: { tick: noteRun("paces") },
    quarantine: { tick: () => {} },
    recorders: [{ run: noteRun("recorder") }],
    members: { look: () => {}, run: noteRun("members") },
    keeper: { run: noteRun("layers") },
    log: () => {},
  });
  return { rounds, calls, state };
}

test("a new leader removes no engine and sends no layer order before it knows all engines", () => {
  const { rounds, calls, state } = startRounds({ isFirstStart: false });
  rounds.tick();
  assert.equal(calls.splice(0), ["sessions", "paces", "recorder"]);
  state.ledMs = SILENCE_MS;
  rounds.tick();
  for (const name of ["loads", "engines", "all engines", "layers"]) {
    assert.ok(calls.includes(name));
  }
});

test("a new fleet's layers are placed at once, and the full engine list is published once", async () => {
  const { rounds, calls, state } = startRounds({ isFirstStart: true });
  rounds.tick();
  assert.ok(calls.includes("layers"));
  await Promise.resolve();
  state.ledMs = SILENCE_MS;
  rounds.tick();
  rounds.tick();
  assert.is(calls.filter((name) => name === "all engines").length, 1);
  rounds.reset();
  rounds.tick();
  assert.is(calls.filter((name) => name === "all engines").length, 2);
});

test("a process that does not lead does nothing", () => {
  const { rounds, calls, state } = startRounds({ isFirstStart: true });
  state.isLeading = false;
  rounds.tick();
  assert.equal(calls, []);
});

// Heartbeats are rejected without a lease. If that time counted as silence, all engines
// would be removed as soon as the lease is back.
test("time without a lease does not count as silence of engines", () => {
  let nowMs = 0;
  const listening = createListeningClock({
    now: () => nowMs,
    lookIntervalMs: ROUND_MS,
  });
  const { rounds, state } = startRounds({ isFirstStart: false, listening });
  const makeRounds = (count: number) => {
    for (let round = 0; round < count; round++) {
      nowMs += ROUND_MS;
      rounds.tick();
    }
  };
  makeRounds(4);
  state.isLeading = false;
  makeRounds(20);
  state.isLeading = true;
  makeRounds(4);
  // The first round after a change still counts by the state before it.
  assert.is(listening.now(), 8 * ROUND_MS);
});

test.run();
