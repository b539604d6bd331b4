import { test } from "uvu";
import * as assert from "uvu/assert";
import type { PublishedCase } from "../fleet/index.ts";
import { TRIAL_START_MS } from "../quarantine/index.ts";
import { createQuarantine, type Quarantine } from "./create_quarantine.ts";

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

function asked(requestKey: string, partKeys: readonly string[] = []) {
  return { requestKey, partKeys };
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
  assert.is(quarantine.judge(asked("r")).type, "free");
  assert.ok(quarantine.isSuspect(asked("r")));
  assert.not.ok(quarantine.isSuspect(asked("other")));
});

test("crashes seen here and at other gateways add up", () => {
  const { quarantine, publish } = start();
  publish([makeCase({ engineIds: ["e1"] })]);
  quarantine.noteCrash({ requestKey: "r", engineId: "e1" });
  assert.is(quarantine.judge(asked("r")).type, "free");
  quarantine.noteCrash({ requestKey: "r", engineId: "e2" });
  assert.is(quarantine.judge(asked("r")).type, "trial");
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
  assert.equal(quarantine.judge(asked("r")), {
    type: "held",
    leftMs: 1_000,
    suspectKey: "r",
  });
  state.nowMs = 999;
  assert.is(quarantine.judge(asked("r")).type, "held");
  state.nowMs = 1_000;
  assert.is(quarantine.judge(asked("r")).type, "trial");
  quarantine.replaceCases([makeCase({ requestKey: "other", heldMs: 50 })]);
  assert.is(quarantine.judge(asked("r")).type, "free");
  assert.is(quarantine.judge(asked("other")).type, "held");
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
  assert.is(quarantine.judge(asked("hot")).type, "free");
  publish([], ["hot"]);
  assert.equal(quarantine.collectUpdate(), {});
});

test("a crash for which another request is convicted is no longer reported", () => {
  const { quarantine, publish } = start();
  quarantine.noteCrash({ requestKey: "beside", engineId: "e2" });
  publish([makeCase({ heldMs: 1_000 })]);
  assert.is(quarantine.collectUpdate().crashes, undefined);
  assert.not.ok(quarantine.isSuspect(asked("beside")));
});

test("suspected requests of one gateway do not begin on the same upstream together", () => {
  const { state, quarantine } = start();
  for (const requestKey of ["a", "b"]) {
    quarantine.noteCrash({ requestKey, engineId: "e0" });
  }
  quarantine.noteSent(asked("a"), "e1");
  assert.equal(quarantine.listWithRecentSuspects(asked("b")), ["e1"]);
  assert.equal(quarantine.listWithRecentSuspects(asked("a")), []);
  state.nowMs = 1_000;
  assert.equal(quarantine.listWithRecentSuspects(asked("b")), []);
});

const PART = "part:a1";
const OTHER_PART = "part:b2";

/** Reports that a run of a request crashed the upstream to which it was sent. */
function crashRun(
  quarantine: Quarantine,
  subject: ReturnType<typeof asked>,
  engineId: string,
): void {
  quarantine.noteSent(subject, engineId).forEach(quarantine.noteCrash);
}

test("crashes under unlike requests add up for the part that they share", () => {
  const { quarantine } = start();
  crashRun(quarantine, asked("x", [PART]), "e1");
  assert.is(quarantine.judge(asked("y", [PART])).type, "free");
  crashRun(quarantine, asked("y", [PART]), "e2");
  assert.equal(quarantine.judge(asked("z", [OTHER_PART, PART])), {
    type: "trial",
    requestKey: PART,
  });
  assert.is(quarantine.judge(asked("z", [OTHER_PART])).type, "free");
});

test("upstreams that fail together are one crash of the part that all runs share", () => {
  const { quarantine, publish } = start();
  const sent = ["x", "y", "z"].map((key, at) =>
    quarantine.noteSent(asked(key, [PART]), `e${at}`)
  );
  sent.flat().forEach(quarantine.noteCrash);
  assert.is(quarantine.judge(asked("new", [PART])).type, "free");
  const late = quarantine.noteSent(asked("late", [PART]), "e8");
  publish([makeCase({ requestKey: PART, engineIds: ["e0", "e9"] })]);
  late.forEach(quarantine.noteCrash);
  const listReported = () =>
    quarantine.collectUpdate().crashes?.map((one) => one.requestKey) ?? [];
  // The leader learns once that the part was there, and does not count it.
  assert.ok(listReported().includes(PART));
  assert.not.ok(listReported().includes(PART));
  assert.is(quarantine.judge(asked("new", [PART])).type, "trial");
  publish([], [PART]);
  assert.is(quarantine.judge(asked("new", [PART])).type, "free");
});

test("a proof of a part counts against crashes known before the run began, not later ones", () => {
  const { state, quarantine, publish } = start();
  state.nowMs = 100;
  publish([makeCase({ requestKey: PART })]);
  quarantine.notePartsProved([PART], 99);
  assert.is(quarantine.judge(asked("r", [PART])).type, "trial");
  quarantine.notePartsProved([PART, OTHER_PART], 100);
  assert.is(quarantine.judge(asked("r", [PART])).type, "free");
  assert.equal(quarantine.collectUpdate().provedParts, [
    { requestKey: PART, engineId: "e1" },
    { requestKey: PART, engineId: "e2" },
  ]);
  state.nowMs = 200;
  publish([makeCase({ requestKey: PART, engineIds: ["e2", "e3", "e4"] })]);
  assert.is(quarantine.judge(asked("r", [PART])).type, "trial");
  publish([], [PART]);
  assert.is(quarantine.collectUpdate().provedParts, undefined);
});

test("a new leader's list does not make known crashes newer", () => {
  const { state, quarantine, publish } = start();
  publish([makeCase({ requestKey: PART })]);
  state.nowMs = 500;
  quarantine.replaceCases([makeCase({ requestKey: PART })]);
  quarantine.notePartsProved([PART], 300);
  assert.is(quarantine.judge(asked("r", [PART])).type, "free");
});

test("parts that were convicted together hold back only requests that have them all", () => {
  const { quarantine, publish } = start();
  publish([
    makeCase({ requestKey: PART, heldMs: 900, heldWith: [OTHER_PART] }),
    makeCase({ requestKey: OTHER_PART, heldMs: 900, heldWith: [PART] }),
  ]);
  const judge = (parts: string[]) => quarantine.judge(asked("r", parts)).type;
  assert.is(judge([PART, OTHER_PART]), "held");
  assert.is(judge([PART]), "trial");
  publish([makeCase({ requestKey: PART, heldMs: 900, heldWith: [] })]);
  assert.is(judge([PART]), "held");
});

test("listeners hear of a conviction of their request or its parts only", () => {
  const { quarantine, publish } = start();
  const heard: string[] = [];
  quarantine.onHeld(asked("x", [PART]), () => void heard.push("x"));
  quarantine.onHeld(asked("y", [OTHER_PART]), () => void heard.push("y"));
  const stop = quarantine.onHeld(
    asked("z", [PART]),
    () => void heard.push("z"),
  );
  stop();
  publish([makeCase({ requestKey: PART })]);
  assert.equal(heard, []);
  publish([makeCase({ requestKey: PART, heldMs: 1_000 })]);
  assert.equal(heard, ["x"]);
});

test("requests with different suspect parts begin apart, those with the same together", () => {
  const { quarantine } = start();
  const engineId = "e0";
  for (const requestKey of [PART, OTHER_PART]) {
    quarantine.noteCrash({ requestKey, engineId, knownCrashes: 0 });
  }
  quarantine.noteSent(asked("x", [PART]), "e1");
  const list = (parts: string[]) =>
    quarantine.listWithRecentSuspects(asked("y", parts));
  assert.equal(list([PART]), []);
  assert.equal(list([OTHER_PART]), ["e1"]);
  assert.equal(list(["part:c3"]), []);
});

test("a suspect part that upstreams ran here before is named to each leader once", () => {
  const { quarantine, publish } = start();
  quarantine.notePartsProved([PART], 0);
  assert.equal(quarantine.collectUpdate(), {});
  publish([
    makeCase({ requestKey: PART }),
    makeCase({ requestKey: OTHER_PART }),
  ]);
  assert.equal(quarantine.collectUpdate().partsRunBefore, [PART]);
  assert.is(quarantine.collectUpdate().partsRunBefore, undefined);
  quarantine.replaceCases([makeCase({ requestKey: PART })]);
  assert.equal(quarantine.collectUpdate().partsRunBefore, [PART]);
});

test("the crash of a trial counts, whatever became known after it was sent", () => {
  const { quarantine, publish } = start();
  publish([makeCase({ requestKey: PART })]);
  const request = { requestKey: PART, engineIds: ["e4"] };
  quarantine.takeTrial(request);
  quarantine.addTrialGrant({
    type: "trial",
    requestKey: PART,
    engineId: "e4",
    askedMs: 0,
  });
  assert.is(quarantine.takeTrial(request), "e4");
  const sent = quarantine.noteSent(asked("r", [PART]), "e4");
  publish([makeCase({ requestKey: PART, engineIds: ["e1", "e2", "e3"] })]);
  sent.forEach(quarantine.noteCrash);
  const reported = quarantine.collectUpdate().crashes ?? [];
  assert.ok(reported.some((one) => one.requestKey === PART));
});

test.run();
