import { test } from "uvu";
import * as assert from "uvu/assert";
import { countMostInWindow } from "../../proof/count_most_in_window.ts";
import { createRandomSource } from "../../proof/random_source.ts";
import {
  createLimitCoordinator,
  PROBE_RATE_PER_S,
} from "./create_limit_coordinator.ts";
import type { PublishedLimit } from "./messages.ts";

function makeCoordinator() {
  const clock = { ms: 0 };
  const published: PublishedLimit[] = [];
  const coordinator = createLimitCoordinator({
    publish: (limit) => void published.push(limit),
    firstVersion: 100,
    now: () => clock.ms,
    log: () => {},
  });
  const grant = (count = 1, engineId = "a") =>
    coordinator.grant({ [engineId]: count })[0];
  return { clock, published, coordinator, grant };
}

test("each limit is published once, with its own version", () => {
  const { published, coordinator } = makeCoordinator();
  coordinator.take({ engineId: "a", limitPerS: 4.6 });
  coordinator.take({ engineId: "a", limitPerS: 4.6 });
  coordinator.take({ engineId: "a", limitPerS: 3 });
  assert.equal(published, [
    { engineId: "a", limitPerS: 4.6, version: 100 },
    { engineId: "a", limitPerS: 3, version: 101 },
  ]);
  assert.equal(coordinator.list(), [published[1]]);
});

test("a limit is lifted or raised only by a response to a request whose sender knew it", () => {
  for (const limitPerS of [null, 9]) {
    const { published, coordinator } = makeCoordinator();
    coordinator.take({ engineId: "a", limitPerS: 4 });
    coordinator.take({ engineId: "a", limitPerS: 3 });
    coordinator.take({ engineId: "a", limitPerS });
    coordinator.take({ engineId: "a", limitPerS, knownVersion: 100 });
    assert.is(published.length, 2);
    coordinator.take({ engineId: "a", limitPerS, knownVersion: 101 });
    assert.is(published[2].limitPerS, limitPerS);
    // The same report from a second gateway changes nothing.
    coordinator.take({ engineId: "a", limitPerS, knownVersion: 101 });
    assert.is(published.length, 3);
  }
});

test("an upstream reported again after its limit was lifted is limited again", () => {
  const { coordinator, published } = makeCoordinator();
  coordinator.take({ engineId: "a", limitPerS: 4 });
  coordinator.take({ engineId: "a", limitPerS: null, knownVersion: 100 });
  coordinator.take({ engineId: "a", limitPerS: 4 });
  // A response to a request that was sent before the second limit.
  coordinator.take({ engineId: "a", limitPerS: null, knownVersion: 100 });
  assert.equal(published.map(({ limitPerS }) => limitPerS), [4, null, 4]);
});

test("the bucket is empty when a limit comes into force", () => {
  const { clock, coordinator, grant } = makeCoordinator();
  coordinator.take({ engineId: "a", limitPerS: 4 });
  assert.equal(grant(), { engineId: "a", count: 0, retryAfterMs: 250 });
  clock.ms = 250;
  assert.is(grant().count, 1);
  assert.is(grant(3, "unlimited").count, 3);
});

test("a changed limit does not refill the bucket", () => {
  const { clock, coordinator, grant } = makeCoordinator();
  coordinator.take({ engineId: "a", limitPerS: 4 });
  clock.ms = 250;
  assert.is(grant().count, 1);
  coordinator.take({ engineId: "a", limitPerS: 3 });
  coordinator.take({ engineId: "a", limitPerS: 50, knownVersion: 101 });
  assert.is(grant(50).count, 0);
});

test("whatever is requested, no window of four seconds exceeds the limit", () => {
  for (const limitPerS of [0.2, 0.5, 4.6, 50]) {
    const { clock, coordinator, grant } = makeCoordinator();
    const random = createRandomSource(7);
    coordinator.take({ engineId: "a", limitPerS });
    const timesMs: number[] = [];
    for (; clock.ms < 60_000; clock.ms += random.integer(1, 20)) {
      const { count } = grant(random.integer(1, 3));
      for (let at = 0; at < count; at++) timesMs.push(clock.ms);
    }
    const most = countMostInWindow(timesMs, 4_000);
    const allowed = 4 * limitPerS + Math.max(1, 0.4 * limitPerS);
    assert.ok(most <= allowed, `${limitPerS}: ${most}`);
    assert.ok(timesMs.length >= 0.9 * 60 * limitPerS - 1, `${limitPerS}`);
  }
});

test("an upstream with a limit of 0 is probed now and then", () => {
  const { clock, coordinator, grant } = makeCoordinator();
  coordinator.take({ engineId: "a", limitPerS: 0 });
  const probeMs = 1_000 / PROBE_RATE_PER_S;
  clock.ms = probeMs - 1;
  assert.is(grant().count, 0);
  clock.ms = probeMs;
  assert.is(grant().count, 1);
  assert.is(grant().count, 0);
});

test("a new leader knows no limits until gateways report them", () => {
  const { coordinator, grant } = makeCoordinator();
  coordinator.take({ engineId: "a", limitPerS: 4 });
  coordinator.reset();
  assert.equal(coordinator.list(), []);
  coordinator.take({ engineId: "a", limitPerS: 4 });
  assert.is(grant().count, 0);
});

test.run();
