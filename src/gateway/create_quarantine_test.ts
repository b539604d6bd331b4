import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ToldCase } from "../fleet/index.ts";
import { TRIAL_MS } from "../quarantine/index.ts";
import { createQuarantine } from "./create_quarantine.ts";

function start() {
  const state = { nowMs: 0, news: 0 };
  const quarantine = createQuarantine({
    onNews: () => state.news += 1,
    now: () => state.nowMs,
  });
  const tell = (cases: readonly ToldCase[], cleared: string[] = []) =>
    quarantine.takeCases({ type: "cases", cases, cleared });
  return { state, quarantine, tell };
}

function makeCase(fields: Partial<ToldCase> = {}): ToldCase {
  return { requestKey: "r", engineIds: ["e1", "e2"], heldMs: 0, ...fields };
}

test("one end is told at once, and the request stays free", () => {
  const { state, quarantine } = start();
  quarantine.noteCrash({ requestKey: "r", engineId: "e1" });
  assert.is(state.news, 1);
  assert.equal(quarantine.getTold().crashes, [
    { requestKey: "r", engineId: "e1" },
  ]);
  assert.is(quarantine.judge("r").type, "free");
  assert.ok(quarantine.isSuspect("r"));
  assert.not.ok(quarantine.isSuspect("other"));
});

test("what was seen here and elsewhere adds up", () => {
  const { quarantine, tell } = start();
  tell([makeCase({ engineIds: ["e1"] })]);
  quarantine.noteCrash({ requestKey: "r", engineId: "e1" });
  assert.is(quarantine.judge("r").type, "free");
  quarantine.noteCrash({ requestKey: "r", engineId: "e2" });
  assert.is(quarantine.judge("r").type, "trial");
});

test("a report is told until the list has it", () => {
  const { quarantine, tell } = start();
  quarantine.noteCrash({ requestKey: "r", engineId: "e1" });
  assert.ok(quarantine.getTold().crashes);
  assert.ok(quarantine.getTold().crashes);
  tell([makeCase({ engineIds: ["e1"] })]);
  assert.is(quarantine.getTold().crashes, undefined);
});

test("what is told counts, whichever leader tells it", () => {
  const { state, quarantine, tell } = start();
  tell([makeCase({ heldMs: 1_000 })]);
  assert.equal(quarantine.judge("r"), { type: "held", leftMs: 1_000 });
  state.nowMs = 999;
  assert.is(quarantine.judge("r").type, "held");
  state.nowMs = 1_000;
  assert.is(quarantine.judge("r").type, "trial");
  quarantine.takeWhole([makeCase({ requestKey: "other", heldMs: 50 })]);
  assert.is(quarantine.judge("r").type, "free");
  assert.is(quarantine.judge("other").type, "held");
  assert.equal(quarantine.count(), { suspects: 1, held: 1 });
});

test("a trial is asked for, used once, and runs out", () => {
  const { state, quarantine, tell } = start();
  tell([makeCase()]);
  const wish = { requestKey: "r", engineIds: ["e3", "e4"] };
  assert.is(quarantine.takeTrial(wish), undefined);
  assert.equal(quarantine.getTold().trialsWanted, [wish]);
  const grant = { type: "trial", requestKey: "r", engineId: "e4" } as const;
  quarantine.takeGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(wish), "e4");
  assert.is(quarantine.takeTrial(wish), undefined);
  quarantine.takeGrant({ ...grant, askedMs: 0 });
  state.nowMs = TRIAL_MS;
  assert.is(quarantine.takeTrial(wish), undefined);
});

test("one try of a request is on trial at a time, and its end is told once", () => {
  const { quarantine, tell } = start();
  tell([makeCase()]);
  const wish = { requestKey: "r", engineIds: ["e3", "e4"] };
  const grant = { type: "trial", requestKey: "r", engineId: "e4" } as const;
  quarantine.takeTrial(wish);
  quarantine.takeGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(wish), "e4");
  quarantine.takeGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(wish), undefined);
  assert.is(quarantine.getTold().trialsEnded, undefined);
  quarantine.endTrial("r");
  assert.equal(quarantine.getTold().trialsEnded, ["r"]);
  assert.is(quarantine.getTold().trialsEnded, undefined);
  quarantine.takeTrial(wish);
  quarantine.takeGrant({ ...grant, askedMs: 0 });
  assert.is(quarantine.takeTrial(wish), "e4");
});

test("a trial that nobody waits for any more is given back", () => {
  const { state, quarantine, tell } = start();
  tell([makeCase()]);
  const wish = { requestKey: "r", engineIds: ["e4"] };
  const grant = { type: "trial", requestKey: "r", engineId: "e4" } as const;
  quarantine.takeTrial(wish);
  quarantine.takeGrant({ ...grant, askedMs: 0 });
  state.nowMs = 1_000;
  assert.equal(quarantine.getTold().trialsEnded, ["r"]);
  assert.is(quarantine.takeTrial(wish), undefined);
  state.nowMs = 2_000;
  quarantine.takeGrant({ ...grant, askedMs: 1_000 });
  assert.equal(quarantine.getTold().trialsEnded, ["r"]);
});

test("what an upstream ran well is suspected neither before nor after", () => {
  const { state, quarantine, tell } = start();
  quarantine.noteProved("hot");
  quarantine.noteCrash({ requestKey: "hot", engineId: "e1" });
  assert.equal(quarantine.getTold(), {});
  tell([makeCase({ requestKey: "hot" })]);
  assert.is(state.news, 1, "who knows better says so at once");
  assert.equal(quarantine.getTold().proved, ["hot"]);
  assert.is(quarantine.judge("hot").type, "free");
  tell([], ["hot"]);
  assert.equal(quarantine.getTold(), {});
});

test("an end that another request is convicted for is no longer told", () => {
  const { quarantine, tell } = start();
  quarantine.noteCrash({ requestKey: "beside", engineId: "e2" });
  tell([makeCase({ heldMs: 1_000 })]);
  assert.is(quarantine.getTold().crashes, undefined);
  assert.not.ok(quarantine.isSuspect("beside"));
});

test("suspected requests of one gateway begin apart from each other", () => {
  const { state, quarantine } = start();
  quarantine.noteSent({ requestKey: "a", engineId: "e1" });
  assert.equal(quarantine.listTaken("b"), ["e1"]);
  assert.equal(quarantine.listTaken("a"), []);
  state.nowMs = 1_000;
  assert.equal(quarantine.listTaken("b"), []);
});

test.run();
