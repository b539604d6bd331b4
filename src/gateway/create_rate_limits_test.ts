import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import type { GrantCounts } from "../fleet/index.ts";

function makeLimits(options: { readonly hasLeader?: boolean } = {}) {
  const { hasLeader = true } = options;
  const clock = { ms: 1_000 };
  const leader = { hasLeader };
  const asked: { counts: GrantCounts; askedMs: number }[] = [];
  const limits = makeRateLimits({
    requestGrants(counts, askedMs) {
      if (leader.hasLeader) asked.push({ counts, askedMs });
      return leader.hasLeader;
    },
    getGatewayCount: () => 10,
    now: () => clock.ms,
  });
  const tell = (limitPerS: number | null, version = 1) =>
    limits.takeTold([{ engineId: "a", limitPerS, version }]);
  const answer = (count: number, retryAfterMs = 0) =>
    limits.takeGrants({
      type: "grants",
      grants: [{ engineId: "a", count, retryAfterMs }],
      askedMs: asked[asked.length - 1].askedMs,
    });
  return { clock, leader, asked, limits, tell, answer };
}

/** Until requests of one turn have been asked for. */
const untilAsked = () => sleep(5);

test("who isn't limited needs no grant, and no longer has one once it is", () => {
  const { limits, tell } = makeLimits();
  const grant = limits.take("a");
  assert.ok(grant?.isValid());
  assert.is(limits.getWaitMs("a"), 0);
  tell(4);
  assert.not.ok(grant?.isValid());
  assert.is(limits.take("a"), undefined);
});

test("requests of one turn are asked for together, each grant is for one", async () => {
  const { asked, limits, tell, answer } = makeLimits();
  tell(4);
  const done = [limits.request("a"), limits.request("a")];
  await untilAsked();
  assert.equal(asked.map(({ counts }) => counts), [{ a: 2 }]);
  answer(1, 250);
  await Promise.all(done);
  assert.ok(limits.take("a"));
  assert.is(limits.take("a"), undefined);
  assert.is(limits.getWaitMs("a"), 250);
});

test("a grant ends by the time at which it was asked for", async () => {
  const { clock, limits, tell, answer } = makeLimits();
  tell(4);
  void limits.request("a");
  await untilAsked();
  clock.ms += 499;
  answer(2);
  const grant = limits.take("a");
  assert.ok(grant?.isValid());
  clock.ms += 1;
  assert.not.ok(grant?.isValid());
  assert.is(limits.take("a"), undefined);
});

test("a grant that is given back serves another request", async () => {
  const { limits, tell, answer } = makeLimits();
  tell(4);
  void limits.request("a");
  await untilAsked();
  answer(1);
  limits.take("a")?.giveBack();
  assert.ok(limits.take("a"));
  assert.is(limits.take("a"), undefined);
});

test("a leader that gives no answer is left alone for a moment", async () => {
  const { clock, limits, tell } = makeLimits();
  tell(4);
  await limits.request("a");
  assert.is(limits.getWaitMs("a"), 300);
  clock.ms += 300;
  assert.is(limits.getWaitMs("a"), 0);
});

test("without a leader a gateway has nothing at first, then a part of its share", async () => {
  const { clock, limits, tell } = makeLimits({ hasLeader: false });
  tell(4);
  const takenMs: number[] = [];
  for (; clock.ms < 51_000; clock.ms += 100) {
    if (limits.getWaitMs("a") > 0) continue;
    await limits.request("a");
    if (limits.take("a")) takenMs.push(clock.ms);
  }
  // Half of 4 a second over ten gateways: one each 5 s.
  assert.ok(takenMs[0] >= 6_000, takenMs.join());
  assert.ok(takenMs.length >= 8 && takenMs.length <= 10, takenMs.join());
});

test("a smaller limit counts at once, a larger one only from the leader", () => {
  const { clock, limits, tell } = makeLimits();
  limits.takeAnswer("a", { limitPerS: 4 });
  assert.is(limits.getLimitPerS("a"), 4);
  assert.equal(limits.takeReports(), [{ engineId: "a", limitPerS: 4 }]);
  // The leader has no version of it yet.
  limits.takeAnswer("a", { limitPerS: 9, sentMs: clock.ms + 1 });
  assert.equal(limits.takeReports(), []);
  tell(4, 7);
  clock.ms += 10;
  limits.takeAnswer("a", { limitPerS: 9, sentMs: clock.ms });
  assert.is(limits.getLimitPerS("a"), 4);
  assert.equal(limits.takeReports(), [
    { engineId: "a", limitPerS: 9, knownVersion: 7 },
  ]);
});

test("an answer to a request from before the limit was known doesn't end it", () => {
  const { clock, limits, tell } = makeLimits();
  tell(4, 7);
  limits.takeAnswer("a", { limitPerS: Infinity });
  limits.takeAnswer("a", { limitPerS: Infinity, sentMs: clock.ms });
  assert.equal(limits.takeReports(), []);
  limits.takeAnswer("a", { limitPerS: Infinity, sentMs: clock.ms + 1 });
  assert.equal(limits.takeReports(), [
    { engineId: "a", limitPerS: null, knownVersion: 7 },
  ]);
  assert.is(limits.getLimitPerS("a"), 4);
  tell(null, 8);
  assert.is(limits.getLimitPerS("a"), Infinity);
});

test("who waits for a grant goes on when the limit ends", async () => {
  const { limits, tell } = makeLimits();
  tell(4);
  const waiting = limits.request("a");
  tell(null, 2);
  await waiting;
  assert.ok(limits.take("a"));
});

test("a leader that doesn't know a limit is told, and its own holds", () => {
  const { limits, tell } = makeLimits();
  tell(4, 7);
  limits.takeWhole([{ engineId: "b", limitPerS: 2, version: 50 }]);
  assert.equal(limits.takeReports(), [{ engineId: "a", limitPerS: 4 }]);
  assert.is(limits.getLimitPerS("b"), 2);
  assert.is(limits.getLimitPerS("a"), 4);
});

test.run();
