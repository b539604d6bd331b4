import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLeaderRounds } from "./create_leader_rounds.ts";

/** Ms of silence after which an upstream is lost. */
const SILENCE_MS = 3_000;

function startRounds(options: { readonly isFirstStart: boolean }) {
  const calls: string[] = [];
  const note = (name: string) => () => void calls.push(name);
  const noteRun = (name: string) => () => {
    calls.push(name);
    return Promise.resolve();
  };
  const state = { isLeading: true, ledMs: 0 };
  const rounds = createLeaderRounds({
    isLeading: () => state.isLeading,
    leadsFor: (spanMs) => state.ledMs >= spanMs,
    silenceMs: SILENCE_MS,
    isFirstStart: options.isFirstStart,
    sessions: {
      tick: note("sessions"),
      publishLoads: note("loads"),
      publishAllEngines: note("all engines"),
    },
    registry: { tick: note("engines"), getRecords: () => [] },
    paces: { tick: noteRun("paces") },
    quarantine: { tick: () => {} },
    recorders: [{ run: noteRun("recorder") }],
    members: { run: noteRun("members") },
    keeper: { run: noteRun("layers") },
    log: () => {},
  });
  return { rounds, calls, state };
}

test("a new leader drops no engine and gives no order before it has heard all", () => {
  const { rounds, calls, state } = startRounds({ isFirstStart: false });
  rounds.tick();
  assert.equal(calls.splice(0), ["sessions", "paces", "recorder"]);
  state.ledMs = SILENCE_MS;
  rounds.tick();
  for (const name of ["loads", "engines", "all engines", "layers"]) {
    assert.ok(calls.includes(name));
  }
});

test("a new fleet's layers are spread at once, engines are told in full once", async () => {
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

test("who doesn't lead does nothing", () => {
  const { rounds, calls, state } = startRounds({ isFirstStart: true });
  state.isLeading = false;
  rounds.tick();
  assert.equal(calls, []);
});

test.run();
