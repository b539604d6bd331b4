import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import type { GrantCounts } from "../fleet/index.ts";

function makeLimits(
  options: {
    readonly hasLeader?: boolean;
    readonly gatewayCount?: number;
  } = {},
) {
  const { hasLeader = true, gatewayCount = 10 } = options;
  const clock = { ms: 1_000 };
  const leader = { hasLeader };
  const asked: { counts: GrantCounts; askedMs: number }[] = [];
  const limits = makeRateLimits({
    requestGrants(counts, askedMs) {
      if (leader.hasLeader) asked.push({ counts, askedMs });
      return leader.hasLeader;
    },
    getGatewayCount: () => gatewayCount,
    now: () => clock.ms,
  });
  const publish = (limitPerS: number | null, version = 1) =>
    limits.applyLimits([{ engineId: "a", limitPerS, version }]);
  const answer = (count: number, retryAfterMs = 0) =>
    limits.applyGrants({
      type: "grants",
      grants: [{ engineId: "a", count, retryAfterMs }],
      askedMs: asked[asked.length - 1].askedMs,
    });
  return { clock, leader, asked, limits, publish, answer };
}

/** Resolves once the requests of one event loop turn have been sent. */
const untilSent = () => sleep(5);

test("an unlimited upstream needs no grant; a new limit invalidates earlier permissions", () => {
  const { limits, publish } = makeLimits();
  const grant = limits.takeGrant("a");
  assert.ok(grant?.isValid());
  assert.is(limits.getWaitMs("a"), 0);
  publish(4);
  assert.not.ok(grant?.isValid());
  assert.is(limits.takeGrant("a"), undefined);
});

test("requests of one event loop turn share a message, and each grant is for one request", async () => {
  const { asked, limits, publish, answer } = makeLimits();
  publish(4);
  const done = [limits.requestGrant("a"), limits.requestGrant("a")];
  await untilSent();
  assert.equal(asked.map(({ counts }) => counts), [{ a: 2 }]);
  answer(1, 250);
  await Promise.all(done);
  assert.ok(limits.takeGrant("a"));
  assert.is(limits.takeGrant("a"), undefined);
  assert.is(limits.getWaitMs("a"), 250);
});

test("the expiry of a grant counts from the time of its request", async () => {
  const { clock, limits, publish, answer } = makeLimits();
  publish(4);
  void limits.requestGrant("a");
  await untilSent();
  clock.ms += 499;
  answer(2);
  const grant = limits.takeGrant("a");
  assert.ok(grant?.isValid());
  clock.ms += 1;
  assert.not.ok(grant?.isValid());
  assert.is(limits.takeGrant("a"), undefined);
});

test("a released grant serves another request", async () => {
  const { limits, publish, answer } = makeLimits();
  publish(4);
  void limits.requestGrant("a");
  await untilSent();
  answer(1);
  limits.takeGrant("a")?.release();
  assert.ok(limits.takeGrant("a"));
  assert.is(limits.takeGrant("a"), undefined);
});

test("a leader that does not answer is not asked again for a while", async () => {
  const { clock, limits, publish } = makeLimits();
  publish(4);
  await limits.requestGrant("a");
  assert.is(limits.getWaitMs("a"), 300);
  clock.ms += 300;
  assert.is(limits.getWaitMs("a"), 0);
});

test("without a leader a gateway starts with no sends, then gets a part of its share", async () => {
  const { clock, limits, publish } = makeLimits({ hasLeader: false });
  publish(4);
  const takenMs: number[] = [];
  for (; clock.ms < 51_000; clock.ms += 100) {
    if (limits.getWaitMs("a") > 0) continue;
    await limits.requestGrant("a");
    if (limits.takeGrant("a")) takenMs.push(clock.ms);
  }
  // Half of 4 per second, divided among ten gateways: one every 5 s.
  assert.ok(takenMs[0] >= 6_000, takenMs.join());
  assert.ok(takenMs.length >= 8 && takenMs.length <= 10, takenMs.join());
});

test("a lower limit applies at once, a higher one only once the leader sends it", () => {
  const { clock, limits, publish } = makeLimits();
  limits.noteAnswer("a", { limitPerS: 4 });
  assert.is(limits.getLimitPerS("a"), 4);
  assert.equal(limits.takeReports(), [{ engineId: "a", limitPerS: 4 }]);
  // The leader has not sent a version of the limit yet.
  limits.noteAnswer("a", { limitPerS: 9, sentMs: clock.ms + 1 });
  assert.equal(limits.takeReports(), []);
  publish(4, 7);
  clock.ms += 10;
  limits.noteAnswer("a", { limitPerS: 9, sentMs: clock.ms });
  assert.is(limits.getLimitPerS("a"), 4);
  assert.equal(limits.takeReports(), [
    { engineId: "a", limitPerS: 9, knownVersion: 7 },
  ]);
});

test("an answer to a request sent before the limit was known does not end the limit", () => {
  const { clock, limits, publish } = makeLimits();
  publish(4, 7);
  limits.noteAnswer("a", { limitPerS: Infinity });
  limits.noteAnswer("a", { limitPerS: Infinity, sentMs: clock.ms });
  assert.equal(limits.takeReports(), []);
  limits.noteAnswer("a", { limitPerS: Infinity, sentMs: clock.ms + 1 });
  assert.equal(limits.takeReports(), [
    { engineId: "a", limitPerS: null, knownVersion: 7 },
  ]);
  assert.is(limits.getLimitPerS("a"), 4);
  publish(null, 8);
  assert.is(limits.getLimitPerS("a"), Infinity);
});

test("a call that waits for a grant goes on when the limit ends", async () => {
  const { limits, publish } = makeLimits();
  publish(4);
  const waiting = limits.requestGrant("a");
  publish(null, 2);
  await waiting;
  assert.ok(limits.takeGrant("a"));
});

test("limits that a new leader lacks are reported to it, and its own limits apply", () => {
  const { limits, publish } = makeLimits();
  publish(4, 7);
  limits.syncLimits([{ engineId: "b", limitPerS: 2, version: 50 }]);
  assert.equal(limits.takeReports(), [{ engineId: "a", limitPerS: 4 }]);
  assert.is(limits.getLimitPerS("b"), 2);
  assert.is(limits.getLimitPerS("a"), 4);
});

test("a gateway that knows neither the leader nor the other gateways takes no share of a limit", async () => {
  const { clock, limits, publish } = makeLimits({
    hasLeader: false,
    gatewayCount: Infinity,
  });
  publish(100);
  for (let at = 0; at < 20; at++) {
    void limits.requestGrant("a");
    await untilSent();
    clock.ms += 500;
    assert.is(limits.takeGrant("a"), undefined);
  }
});

test.run();
