import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamLiveness } from "../http/index.ts";
import {
  createReachability,
  type ReachabilityChange,
} from "./create_reachability.ts";

const SERVICE = "s";

/** Reachability of upstreams a1, a2, ... of which those in `up` accept connections. */
function makeReachability(
  count: number,
  up: readonly string[],
  elsewhere: readonly string[] = [],
) {
  const accepting = new Set(up);
  const clock = { aheadMs: 0 };
  const probed: string[] = [];
  const changes: ReachabilityChange[] = [];
  const upstreams = Array.from({ length: count }, (_, at) => ({
    engineId: `e${at}`,
    address: `a${at}`,
  }));
  const reachability = createReachability({
    listUpstreams: (service) => service === SERVICE ? upstreams : [],
    listRegistered: (service) =>
      service === SERVICE
        ? upstreams
        : elsewhere.map((address) => ({ engineId: address, address })),
    listServices: () => [SERVICE, "elsewhere"],
    onChange: (change) => void changes.push(change),
    probe(address): Promise<UpstreamLiveness> {
      probed.push(address);
      return Promise.resolve(accepting.has(address) ? "listening" : "ended");
    },
    now: () => performance.now() + clock.aheadMs,
    random: () => 0,
    log: () => {},
    metrics: { count: () => {}, gauge: () => {} },
  });
  return { reachability, accepting, probed, changes, clock };
}

test("one upstream that accepts connections shows that the others are down", async () => {
  const { reachability, probed } = makeReachability(10, ["a9"]);
  assert.ok(await reachability.check(SERVICE));
  assert.is(probed.length, 10);
  assert.is(reachability.getSendMode(SERVICE), "any");
});

test("a few upstreams are probed where they accept connections", async () => {
  const up = Array.from({ length: 10 }, (_, at) => `a${at}`);
  const { reachability, probed } = makeReachability(10, up);
  await Promise.all([reachability.check(SERVICE), reachability.check(SERVICE)]);
  assert.ok(await reachability.check(SERVICE));
  assert.is(probed.length, 4);
});

test("frequent checks of upstreams that can be reached probe less often", async () => {
  const { reachability, probed, clock } = makeReachability(4, ["a0"]);
  for (let at = 0; at < 20; at++) {
    await reachability.check(SERVICE);
    clock.aheadMs += 260;
  }
  // Checks of 5.2 s: after 0.26 s, 0.52 s, and then each 1.04 s.
  assert.is(probed.length, 4 * 7);
});

test("a connection that was just accepted makes a check unnecessary", async () => {
  const { reachability, probed } = makeReachability(3, []);
  reachability.noteConnected(SERVICE);
  assert.ok(await reachability.check(SERVICE));
  assert.equal(probed, []);
});

test("a gateway that reaches no upstream is cut off, and says so once", async () => {
  const { reachability, changes } = makeReachability(5, []);
  let calls = 0;
  const stopListening = reachability.onCutOff(SERVICE, () => calls += 1);
  assert.not(await reachability.check(SERVICE));
  assert.not(await reachability.check(SERVICE));
  stopListening();
  assert.is(calls, 1);
  assert.equal(changes.map(({ isCutOff }) => isCutOff), [true]);
  assert.equal(reachability.listCutOff(), [SERVICE]);
  assert.ok(reachability.isInDoubt(SERVICE));
  reachability[Symbol.dispose]();
});

test("open connections are used only while data arrives over them", async () => {
  const { reachability } = makeReachability(2, []);
  reachability.noteReceived(SERVICE);
  await sleep(2);
  await reachability.check(SERVICE);
  assert.is(reachability.getSendMode(SERVICE), "none");
  await sleep(2);
  reachability.noteReceived(SERVICE);
  assert.is(reachability.getSendMode(SERVICE), "openConnections");
  reachability[Symbol.dispose]();
});

test("a partition ends once an upstream accepts connections again", async () => {
  const { reachability, accepting, changes } = makeReachability(3, []);
  await reachability.check(SERVICE);
  accepting.add("a1");
  while (reachability.isCutOff(SERVICE)) await sleep(5);
  assert.equal(changes.map(({ isCutOff }) => isCutOff), [true, false]);
  assert.ok(await reachability.check(SERVICE));
  reachability[Symbol.dispose]();
});

test("changes of the upstreams don't put off the end of a partition", async () => {
  const { reachability, accepting } = makeReachability(3, []);
  await reachability.check(SERVICE);
  accepting.add("a1");
  const timer = setInterval(reachability.handleUpstreamsChanged, 20);
  const giveUpMs = performance.now() + 2_000;
  while (reachability.isCutOff(SERVICE) && performance.now() < giveUpMs) {
    await sleep(5);
  }
  clearInterval(timer);
  assert.not(reachability.isCutOff(SERVICE));
  reachability[Symbol.dispose]();
});

test("an upstream itself is no evidence that others are reached", async () => {
  const { reachability } = makeReachability(2, ["a0"]);
  assert.not(await reachability.reachesOthers("e0", SERVICE));
  assert.ok(await reachability.reachesOthers("e1", SERVICE));
});

test("a few upstreams may all be down, so those of other services count too", async () => {
  const few = makeReachability(3, ["other"], ["other"]);
  assert.ok(await few.reachability.reachesOthers("e0", SERVICE));
  const many = makeReachability(5, ["other"], ["other"]);
  assert.not(await many.reachability.reachesOthers("e0", SERVICE));
});

test("a service without upstreams is not cut off", async () => {
  const { reachability, probed } = makeReachability(3, []);
  assert.ok(await reachability.check("other"));
  assert.equal(probed, []);
});

test.run();
