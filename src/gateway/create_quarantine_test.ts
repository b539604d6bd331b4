import { test } from "uvu";
import * as assert from "uvu/assert";
import type { PublishedCase } from "../fleet/index.ts";
import { TRIAL_START_MS } from "../quarantine/index.ts";
import { createQuarantine } from "./create_quarantine.ts";

function start() {
  const state = { nowMs: 0, updates: 0 };
  const quarantine = createQuarantine({
    onUpdateDue: () => state.updates += 1,
    now: () => state.nowMs,
  });
  const publish = (cases: readonly PublishedCase[], cleared: string[] = []) =>
    quarantine.applyCases({ type: "cases", cases, cleared });
  return { state, quarantine, publish };
}

function makeCase(fields: Partial<PublishedCase> = {}): PublishedCase {
  return { requestKey: "r", engineIds: ["e1", "e2"], heldMs: 0, ...fields };
}

test("one crash is reported at once, and the request stays free", () => {
  const { state, quarantine } = start();
  quarantine.noteCrash({ requestKey: "r", engineId: "e1" });
  assert.is(state.updates, 1);
  assert.equal(quarantine.collectUpdate().crashes, [
    { requestKey: "r", engineId: "e1" },
  ]);
  assert.is(quarantine.judge("r").type, "free");
  assert.ok(quarantine.isSuspect("r"));
  assert.not.ok(quarantine.isSuspect("other"));
});

test("crashes seen here and at other gateways add up", () => {
  const { quarantine, publish } = start();
  publish([makeCase({ engineIds: ["e1"] })]);
  quarantine.noteCrash({ requestKey: "r", engineId: "e1" });
  assert.is(quarantine.judge("r").type, "free");
  quarantine.noteCrash({ requestKey: "r", engineId: "e2" });
  assert.is(quarantine.judge("r").type, "trial");
});

test("a crash is reported until the leader lists it", () => {
  const { quarantine, publish } = start();
  quarantine.noteCrash({ requestKey: "r", engineId: "e1" });
  assert.ok(quarantine.collectUpdate().crashes);
  assert.ok(quarantine.collectUpdate().crashes);
  publish([makeCase({ engineIds: ["e1"] })]);
  assert.is(quarantine.collectUpdate().crashes, undefined);
});

test("cases of the leader apply, and a new leader replaces them", () => {
  const { state, quarantine, publish } = start();
  publish([makeCase({ heldMs: 1_000 })]);
  assert.equal(quarantine.judge("r"), { type: "held", leftMs: 1_000 });
  state.nowMs = 999;
  assert.is(quarantine.judge("r").type, "held");
  state.nowMs = 1_000;
  assert.is(quarantine.judge("r").type, "trial");
  quarantine.replaceCases([makeCase({ requestKey: "other", heldMs: 50 })]);
  assert.is(quarantine.judge("r").type, "free");
  assert.is(quarantine.judge("other").type, "held");
  assert.equal(quarantine.count(), { suspects: 1, held: 1 });
});

test("a trial is requested, used once, and expires", () => {
  const { state, quarantine, publish } = start();
  publish([makeCase()]);
  const request = { requestKey: "r", engineIds: ["e3", "e4"] };
  assert.is(quarantine.takeTrial(request), undefined);
  assert.equal(quarantine.collectUpdate().trialsWanted, [request]);
  const grant = { type: "trial", requestKey: "r", engineId: "e4" } as const;
  quarantine.addTrialGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(request), "e4");
  assert.is(quarantine.takeTrial(request), undefined);
  quarantine.addTrialGrant({ ...grant, askedMs: 0 });
  state.nowMs = TRIAL_START_MS;
  assert.is(quarantine.takeTrial(request), undefined);
});

test("one attempt of a request is on trial at a time, and its end is reported once", () => {
  const { quarantine, publish } = start();
  publish([makeCase()]);
  const request = { requestKey: "r", engineIds: ["e3", "e4"] };
  const grant = { type: "trial", requestKey: "r", engineId: "e4" } as const;
  quarantine.takeTrial(request);
  quarantine.addTrialGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(request), "e4");
  quarantine.addTrialGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(request), undefined);
  assert.is(quarantine.collectUpdate().trialsEnded, undefined);
  quarantine.endTrial("r");
  assert.equal(quarantine.collectUpdate().trialsEnded, ["r"]);
  assert.is(quarantine.collectUpdate().trialsEnded, undefined);
  quarantine.takeTrial(request);
  quarantine.addTrialGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(request), "e4");
});

test("a trial that no call waits for any more is released", () => {
  const { state, quarantine, publish } = start();
  publish([makeCase()]);
  const request = { requestKey: "r", engineIds: ["e4"] };
  const grant = { type: "trial", requestKey: "r", engineId: "e4" } as const;
  quarantine.takeTrial(request);
  quarantine.addTrialGrant({ ...grant, askedMs: 0 });
  state.nowMs = 1_000;
  assert.equal(quarantine.collectUpdate().trialsEnded, ["r"]);
  assert.is(quarantine.takeTrial(request), undefined);
  state.nowMs = 2_000;
  quarantine.addTrialGrant({ ...grant, askedMs: 1_000 });
  assert.equal(quarantine.collectUpdate().trialsEnded, ["r"]);
});

test("a request that ran without a crash is not suspected, whether reported before or after", () => {
  const { state, quarantine, publish } = start();
  quarantine.noteProved("hot");
  quarantine.noteCrash({ requestKey: "hot", engineId: "e1" });
  assert.equal(quarantine.collectUpdate(), {});
  publish([makeCase({ requestKey: "hot" })]);
  assert.is(state.updates, 1, "a contradicting proof is reported at once");
  assert.equal(quarantine.collectUpdate().proved, ["hot"]);
  assert.is(quarantine.judge("hot").type, "free");
  publish([], ["hot"]);
  assert.equal(quarantine.collectUpdate(), {});
});

test("a crash for which another request is convicted is no longer reported", () => {
  const { quarantine, publish } = start();
  quarantine.noteCrash({ requestKey: "beside", engineId: "e2" });
  publish([makeCase({ heldMs: 1_000 })]);
  assert.is(quarantine.collectUpdate().crashes, undefined);
  assert.not.ok(quarantine.isSuspect("beside"));
});

test("suspected requests of one gateway do not begin on the same upstream together", () => {
  const { state, quarantine } = start();
  quarantine.noteSent({ requestKey: "a", engineId: "e1" });
  assert.equal(quarantine.listWithRecentSuspects("b"), ["e1"]);
  assert.equal(quarantine.listWithRecentSuspects("a"), []);
  state.nowMs = 1_000;
  assert.equal(quarantine.listWithRecentSuspects("b"), []);
});

test.run();
