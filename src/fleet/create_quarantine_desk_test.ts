import { test } from "uvu";
import * as assert from "uvu/assert";
import { FIRST_HOLD_MS, SUSPICION_AGE_MS } from "../quarantine/index.ts";
import { createFleetMachine } from "./create_fleet_machine.ts";
import { createQuarantineDesk } from "./create_quarantine_desk.ts";
import type { LeaderMessage } from "./messages.ts";

/** Ms after which reports have been batched and proposed. */
const GATHER_MS = 30;

function start(machine = createFleetMachine()) {
  const state = { nowMs: 0, isLeader: true };
  const told: (LeaderMessage & { type: "cases" })[] = [];
  const desk = createQuarantineDesk({
    getCases: machine.getCases,
    propose(command) {
      machine.apply(JSON.stringify(command));
      desk.noteChange({ isLeader: state.isLeader });
      return Promise.resolve();
    },
    publish: (message) => void told.push(message),
    now: () => state.nowMs,
    log: () => {},
  });
  async function crash(vm: string, requestKey: string, engineId: string) {
    desk.take(vm, { crashes: [{ requestKey, engineId }] });
    await new Promise((resolve) => setTimeout(resolve, GATHER_MS));
  }
  return { desk, machine, state, told, crash };
}

test("the third crash, in a trial run, convicts the request; this is published", async () => {
  const { desk, told, crash } = start();
  await crash("g1", "r", "e1");
  const wish = { requestKey: "r", engineIds: ["e3", "e4"] };
  assert.is(desk.grantTrial("g2", wish), undefined, "one crash needs no trial");
  await crash("g2", "r", "e2");
  assert.is(desk.grantTrial("g2", wish), "e3");
  assert.is(desk.grantTrial("g3", wish), undefined, "one trial at a time");
  const again = { ...wish, engineIds: ["e4", "e3"] };
  assert.is(
    desk.grantTrial("g2", again),
    "e3",
    "a repeated request gets the same upstream",
  );
  await crash("g2", "r", "e3");
  assert.is(told.at(-1)?.cases[0].heldMs, FIRST_HOLD_MS);
  assert.is(desk.grantTrial("g2", wish), undefined);
});

test("two suspects never have a trial run on the same upstream", async () => {
  const { desk, crash, state } = start();
  for (const key of ["a", "b", "c"]) {
    await crash("g1", key, "e1");
    await crash("g1", key, "e2");
  }
  const ask = (requestKey: string) =>
    desk.grantTrial("g1", { requestKey, engineIds: ["e3", "e4"] });
  assert.equal([ask("a"), ask("b"), ask("c")], ["e3", "e4", undefined]);
  await crash("g1", "a", "e3");
  // The conviction clears the requests that ran beside the convicted one.
  assert.equal(desk.list().map(({ requestKey }) => requestKey), ["a"]);
  state.nowMs = 60_000;
  assert.is(ask("b"), undefined, "it no longer needs a trial");
});

test("a trial run granted long ago still convicts; a finished one frees its upstream", async () => {
  const { desk, crash, state } = start();
  for (const key of ["a", "b"]) {
    await crash("g1", key, "e1");
    await crash("g1", key, "e2");
  }
  const ask = (vm: string, requestKey: string) =>
    desk.grantTrial(vm, { requestKey, engineIds: ["e3"] });
  assert.is(ask("g1", "b"), "e3");
  desk.take("g1", { trialsEnded: ["b"] });
  assert.is(ask("g2", "a"), "e3");
  desk.take("g1", { trialsEnded: ["a"] });
  state.nowMs = 12_000;
  await crash("g2", "a", "e3");
  const held = desk.list().filter(({ heldMs }) => heldMs > 0);
  assert.equal(held.map(({ requestKey }) => requestKey), ["a"]);
});

test("a crash during a trial run counts against no other request", async () => {
  const { desk, crash, machine } = start();
  await crash("g1", "r", "e1");
  await crash("g1", "r", "e2");
  desk.grantTrial("g1", { requestKey: "r", engineIds: ["e3"] });
  await crash("g4", "beside", "e3");
  assert.not.ok(machine.getCases().has("beside"));
});

test("a request that upstreams completed is cleared at all gateways", async () => {
  const { desk, crash, told } = start();
  await crash("g1", "r", "e1");
  desk.take("g2", { proved: ["r", "unknown"] });
  await new Promise((resolve) => setTimeout(resolve, GATHER_MS));
  assert.equal(told.at(-1)?.cleared, ["r"]);
  assert.equal(desk.list(), []);
});

test("a hold survives leader changes, restarts and snapshots, and ends with a trial run", async () => {
  const { desk, crash, machine } = start();
  await crash("g1", "r", "e1");
  await crash("g1", "r", "e2");
  desk.grantTrial("g1", { requestKey: "r", engineIds: ["e3"] });
  await crash("g1", "r", "e3");
  const restored = createFleetMachine();
  restored.restore(machine.save());
  const next = start(restored);
  assert.is(next.desk.list()[0].heldMs, FIRST_HOLD_MS);
  next.state.nowMs = FIRST_HOLD_MS;
  assert.is(next.desk.list()[0].heldMs, 0);
  const wish = { requestKey: "r", engineIds: ["e4"] };
  assert.is(next.desk.grantTrial("g1", wish), "e4");
  await next.crash("g1", "r", "e4");
  assert.is(next.desk.list()[0].heldMs, 2 * FIRST_HOLD_MS);
});

test("old suspicions expire, and an operator may lift a hold", async () => {
  const { desk, crash, state } = start();
  await crash("g1", "r", "e1");
  state.nowMs = SUSPICION_AGE_MS + 1;
  desk.tick();
  assert.equal(desk.list(), []);
  await crash("g1", "s", "e1");
  await desk.lift("s");
  assert.equal(desk.list(), []);
});

test("a follower publishes nothing, but tracks the age of cases", async () => {
  const { desk, crash, state, told } = start();
  state.isLeader = false;
  await crash("g1", "r", "e1");
  assert.equal(told, []);
  state.nowMs = SUSPICION_AGE_MS + 1;
  state.isLeader = true;
  desk.tick();
  assert.equal(told.length, 0);
  assert.equal(desk.list(), []);
});

test.run();
