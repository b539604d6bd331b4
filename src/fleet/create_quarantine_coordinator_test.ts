import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  FIRST_HOLD_MS,
  FIRST_PART_HOLD_MS,
  JOINT_TRIAL_DELAY_MS,
  SUSPICION_RETENTION_MS,
  TRIAL_SETTLE_MS,
} from "../quarantine/index.ts";
import { createFleetStateMachine } from "./create_fleet_state_machine.ts";
import { createQuarantineCoordinator } from "./create_quarantine_coordinator.ts";
import type { LeaderMessage } from "./messages.ts";

/** Ms after which reports have been batched and proposed. */
const BATCH_MS = 30;

const PART = "part:a1";

function startCoordinator(machine = createFleetStateMachine()) {
  const state = { nowMs: 0, isLeader: true };
  const published: (LeaderMessage & { type: "cases" })[] = [];
  const coordinator = createQuarantineCoordinator({
    getCases: machine.getCases,
    propose(command) {
      machine.apply(JSON.stringify(command));
      coordinator.handleChange({ isLeader: state.isLeader });
      return Promise.resolve();
    },
    publish: (message) => void published.push(message),
    now: () => state.nowMs,
    log: () => {},
  });
  async function reportCrash(vm: string, requestKey: string, engineId: string) {
    coordinator.take(vm, { crashes: [{ requestKey, engineId }] });
    await new Promise((resolve) => setTimeout(resolve, BATCH_MS));
  }
  /** Reports a crash of a part, from a run that was sent with this many known. */
  async function reportPart(
    vm: string,
    engineId: string,
    knownCrashes: number,
  ) {
    const crashes = [{ requestKey: PART, engineId, knownCrashes }];
    coordinator.take(vm, { crashes });
    await new Promise((resolve) => setTimeout(resolve, BATCH_MS));
  }
  return { coordinator, machine, state, published, reportCrash, reportPart };
}

test("the third crash, in a trial run, convicts the request; this is published", async () => {
  const { coordinator, published, reportCrash } = startCoordinator();
  await reportCrash("g1", "r", "e1");
  const request = { requestKey: "r", engineIds: ["e3", "e4"] };
  assert.is(
    coordinator.grantTrial("g2", request),
    undefined,
    "one crash needs no trial",
  );
  await reportCrash("g2", "r", "e2");
  assert.is(coordinator.grantTrial("g2", request), "e3");
  assert.is(
    coordinator.grantTrial("g3", request),
    undefined,
    "one trial at a time",
  );
  const retriedRequest = { ...request, engineIds: ["e4", "e3"] };
  assert.is(
    coordinator.grantTrial("g2", retriedRequest),
    "e3",
    "a repeated request gets the same upstream",
  );
  await reportCrash("g2", "r", "e3");
  assert.is(published.at(-1)?.cases[0].heldMs, FIRST_HOLD_MS);
  assert.is(coordinator.grantTrial("g2", request), undefined);
});

test("two suspects never have a trial run on the same upstream", async () => {
  const { coordinator, reportCrash, state } = startCoordinator();
  for (const key of ["a", "b", "c"]) {
    await reportCrash("g1", key, "e1");
    await reportCrash("g1", key, "e2");
  }
  const requestTrial = (requestKey: string) =>
    coordinator.grantTrial("g1", { requestKey, engineIds: ["e3", "e4"] });
  assert.equal([requestTrial("a"), requestTrial("b"), requestTrial("c")], [
    "e3",
    "e4",
    undefined,
  ]);
  await reportCrash("g1", "a", "e3");
  // The conviction clears the requests that ran beside the convicted one.
  assert.equal(coordinator.list().map(({ requestKey }) => requestKey), ["a"]);
  state.nowMs = 60_000;
  assert.is(requestTrial("b"), undefined, "it no longer needs a trial");
});

test("a trial run granted long ago still convicts; a finished one frees its upstream", async () => {
  const { coordinator, reportCrash, state } = startCoordinator();
  for (const key of ["a", "b"]) {
    await reportCrash("g1", key, "e1");
    await reportCrash("g1", key, "e2");
  }
  const requestTrial = (vm: string, requestKey: string) =>
    coordinator.grantTrial(vm, { requestKey, engineIds: ["e3"] });
  assert.is(requestTrial("g1", "b"), "e3");
  coordinator.take("g1", { trialsEnded: ["b"] });
  assert.is(requestTrial("g2", "a"), "e3");
  coordinator.take("g1", { trialsEnded: ["a"] });
  state.nowMs = 12_000;
  await reportCrash("g2", "a", "e3");
  const held = coordinator.list().filter(({ heldMs }) => heldMs > 0);
  assert.equal(held.map(({ requestKey }) => requestKey), ["a"]);
});

test("a crash during a trial run counts against no other request", async () => {
  const { coordinator, reportCrash, machine } = startCoordinator();
  await reportCrash("g1", "r", "e1");
  await reportCrash("g1", "r", "e2");
  coordinator.grantTrial("g1", { requestKey: "r", engineIds: ["e3"] });
  await reportCrash("g4", "beside", "e3");
  assert.not.ok(machine.getCases().has("beside"));
});

test("a request that upstreams completed is cleared at all gateways", async () => {
  const { coordinator, reportCrash, published } = startCoordinator();
  await reportCrash("g1", "r", "e1");
  coordinator.take("g2", { proved: ["r", "unknown"] });
  await new Promise((resolve) => setTimeout(resolve, BATCH_MS));
  assert.equal(published.at(-1)?.cleared, ["r"]);
  assert.equal(coordinator.list(), []);
});

test("a hold survives leader changes, restarts and snapshots, and ends in a trial run", async () => {
  const { coordinator, reportCrash, machine } = startCoordinator();
  await reportCrash("g1", "r", "e1");
  await reportCrash("g1", "r", "e2");
  coordinator.grantTrial("g1", { requestKey: "r", engineIds: ["e3"] });
  await reportCrash("g1", "r", "e3");
  const restored = createFleetStateMachine();
  restored.restore(machine.save());
  const next = startCoordinator(restored);
  assert.is(next.coordinator.list()[0].heldMs, FIRST_HOLD_MS);
  next.state.nowMs = FIRST_HOLD_MS;
  assert.is(next.coordinator.list()[0].heldMs, 0);
  const request = { requestKey: "r", engineIds: ["e4"] };
  assert.is(next.coordinator.grantTrial("g1", request), "e4");
  await next.reportCrash("g1", "r", "e4");
  assert.is(next.coordinator.list()[0].heldMs, 2 * FIRST_HOLD_MS);
});

test("old suspicions expire, and an operator may lift a hold", async () => {
  const { coordinator, reportCrash, state } = startCoordinator();
  await reportCrash("g1", "r", "e1");
  state.nowMs = SUSPICION_RETENTION_MS + 1;
  coordinator.tick();
  assert.equal(coordinator.list(), []);
  await reportCrash("g1", "s", "e1");
  await coordinator.lift("s");
  assert.equal(coordinator.list(), []);
});

test("a follower publishes nothing, but tracks the age of cases", async () => {
  const { coordinator, reportCrash, state, published } = startCoordinator();
  state.isLeader = false;
  await reportCrash("g1", "r", "e1");
  assert.equal(published, []);
  state.nowMs = SUSPICION_RETENTION_MS + 1;
  state.isLeader = true;
  coordinator.tick();
  assert.equal(published.length, 0);
  assert.equal(coordinator.list(), []);
});

// A gateway that can't reach some upstreams reports their crashes, which would hold
// back requests that crash nothing.
test("crashes of an upstream whose heartbeats go on are withdrawn at all gateways", async () => {
  const { coordinator, published, reportCrash } = startCoordinator();
  await reportCrash("g1", "r", "e1");
  await reportCrash("g1", "r", "e2");
  await reportCrash("g1", "other", "e1");
  coordinator.handleHeartbeat("e1");
  coordinator.handleHeartbeat("e9");
  assert.is(coordinator.list().length, 2);
  coordinator.handleHeartbeat("e1");
  const [{ requestKey, engineIds }, ...rest] = coordinator.list();
  assert.equal([requestKey, engineIds, rest], ["r", ["e2"], []]);
  const last = published.at(-1);
  assert.equal(last?.cases.map((one) => one.engineIds), [["e2"]]);
  assert.equal(last?.cleared, ["other"]);
});

// An upstream may really crash under a request after a false report for another.
test("heartbeats before a crash was recorded don't withdraw it", async () => {
  const { coordinator, reportCrash } = startCoordinator();
  await reportCrash("g1", "false", "e1");
  coordinator.handleHeartbeat("e1");
  await reportCrash("g2", "real", "e1");
  coordinator.handleHeartbeat("e1");
  const keys = coordinator.list().map(({ requestKey }) => requestKey);
  assert.equal(keys, ["real"]);
});

test("a part is convicted by its own trial, and a proof clears a part", async () => {
  const { coordinator, machine, state, reportPart } = startCoordinator();
  await reportPart("g1", "e1", 0);
  await reportPart("g2", "e9", 0);
  await reportPart("g2", "e2", 1);
  assert.equal(machine.getCases().get(PART)?.engineIds, ["e1", "e2"]);
  const request = { requestKey: PART, engineIds: ["e3"] };
  assert.is(coordinator.grantTrial("g1", request), "e3");
  await reportPart("g1", "e3", 2);
  assert.is(coordinator.list()[0].heldMs, FIRST_PART_HOLD_MS);
  const provedParts = ["e1", "e2", "e3"]
    .map((engineId) => ({ requestKey: PART, engineId }));
  coordinator.take("g2", { provedParts });
  state.nowMs = 1;
  await new Promise((resolve) => setTimeout(resolve, BATCH_MS));
  assert.equal(coordinator.list(), []);
});

test("a trial of a request with a suspect part convicts the request alone, and comes late", async () => {
  const { coordinator, machine, state, reportCrash, reportPart } =
    startCoordinator();
  for (const [at, engineId] of ["e1", "e2"].entries()) {
    await reportCrash("g1", "r", engineId);
    await reportPart("g1", engineId, at);
  }
  const request = {
    requestKey: "r",
    alsoSuspect: [PART],
    engineIds: ["e3"],
  };
  assert.is(coordinator.grantTrial("g1", request), undefined);
  state.nowMs = JOINT_TRIAL_DELAY_MS;
  assert.is(coordinator.grantTrial("g1", request), "e3");
  const partAlone = { requestKey: PART, engineIds: ["e4"] };
  assert.is(coordinator.grantTrial("g2", partAlone), undefined);
  await reportCrash("g1", "r", "e3");
  await reportPart("g1", "e3", 2);
  assert.is(machine.getCases().get("r")?.convictions, 1);
  assert.is(machine.getCases().get(PART)?.convictions, 0);
  assert.is(machine.getCases().get(PART)?.engineIds.length, 3);
  coordinator.take("g1", { trialsEnded: ["r"] });
  assert.is(coordinator.grantTrial("g2", partAlone), "e4");
});

test("requests that ran beside a suspect part leave the upstreams to its trial", async () => {
  const { coordinator, state, reportCrash, reportPart } = startCoordinator();
  for (const [at, engineId] of ["e1", "e2"].entries()) {
    await reportCrash("g1", "r", engineId);
    await reportPart("g1", engineId, at);
  }
  const request = { requestKey: "r", engineIds: ["e3"] };
  assert.is(coordinator.grantTrial("g1", request), undefined);
  state.nowMs = JOINT_TRIAL_DELAY_MS;
  assert.is(coordinator.grantTrial("g1", request), "e3");
});

test("a part that upstreams ran before is convicted by its second trial only", async () => {
  const { coordinator, machine, reportPart } = startCoordinator();
  await reportPart("g1", "e1", 0);
  coordinator.take("g2", { partsRunBefore: [PART] });
  await reportPart("g1", "e2", 1);
  const tryOn = (engineId: string) =>
    coordinator.grantTrial("g1", { requestKey: PART, engineIds: [engineId] });
  assert.is(tryOn("e3"), "e3");
  await reportPart("g1", "e3", 2);
  assert.is(machine.getCases().get(PART)?.convictions, 0);
  coordinator.take("g1", { trialsEnded: [PART] });
  assert.is(tryOn("e4"), "e4");
  await reportPart("g1", "e4", 3);
  assert.is(machine.getCases().get(PART)?.convictions, 1);
});

test("a trial whose upstream also ran another suspect convicts nothing, and another trial may", async () => {
  const { coordinator, machine, reportPart } = startCoordinator();
  const OTHER = "part:b2";
  const reportOther = (engineId: string, knownCrashes: number) =>
    coordinator.take("g2", {
      crashes: [{ requestKey: OTHER, engineId, knownCrashes }],
    });
  const settle = () =>
    new Promise((resolve) => setTimeout(resolve, TRIAL_SETTLE_MS + BATCH_MS));
  for (const [at, engineId] of ["e1", "e2"].entries()) {
    reportOther(engineId, at);
    await reportPart("g1", engineId, at);
  }
  const tryOn = (engineId: string) =>
    coordinator.grantTrial("g1", { requestKey: PART, engineIds: [engineId] });
  const getConvictions = () => machine.getCases().get(PART)?.convictions;
  for (const [at, engineId] of ["e3", "e4", "e5"].entries()) {
    assert.is(tryOn(engineId), engineId);
    const isShared = engineId === "e3";
    await reportPart("g1", engineId, at + 2);
    // Sent before the earlier crashes were known: no evidence, but it was there.
    if (isShared) reportOther(engineId, 0);
    assert.is(tryOn("e9"), undefined, "nothing is decided yet");
    await settle();
    assert.is(getConvictions(), engineId === "e5" ? 1 : 0);
    coordinator.take("g1", { trialsEnded: [PART] });
  }
});

test.run();
