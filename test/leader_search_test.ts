/**
 * A gateway that looks for the leader among control processes that are slow or
 * unresponsive.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { openLink } from "./support/open_link.ts";
import { startOneGateway } from "./support/start_one_gateway.ts";
import {
  type SessionServer,
  startSessionServer,
  WELCOME,
} from "./support/start_session_server.ts";

/** Number of control processes that send nothing. */
const UNRESPONSIVE_COUNT = 5;

/** Time that a loaded leader takes to welcome a gateway. */
const SLOW_WELCOME_MS = 1_500;

/** Time that a leader with hardly any CPU time takes to welcome a gateway. */
const STARVED_WELCOME_MS = 4_000;

/** Time for which a gateway is redirected. */
const REDIRECT_MS = 3_000;

/** Longest back-off before the second attempt. */
const FIRST_BACK_OFF_MS = 100;

test("an unresponsive control process doesn't keep a gateway from trying the next one", async () => {
  await using unresponsive = await startSessionServer(() => {});
  let openAtHello = -1;
  await using leader = await startSessionServer((message) => {
    if (message.type === "hello") openAtHello = unresponsive.getOpenCount();
  });
  await using _started = await startOneGateway([
    unresponsive.address,
    leader.address,
  ]);
  await until(
    "the leader has received a hello",
    () => leader.hellos.length > 0,
  );
  assert.is(openAtHello, 1);
});

test("a gateway tries the next control process however many are unresponsive", async () => {
  const unresponsive: SessionServer[] = [];
  for (let at = 0; at < UNRESPONSIVE_COUNT; at++) {
    unresponsive.push(await startSessionServer(() => {}));
  }
  const countOpen = () =>
    unresponsive.reduce((sum, server) => sum + server.getOpenCount(), 0);
  let openAtHello = -1;
  await using leader = await startSessionServer((message) => {
    if (message.type === "hello") openAtHello = countOpen();
  });
  const addresses = [...unresponsive, leader].map(({ address }) => address);
  {
    await using _started = await startOneGateway(addresses);
    await until(
      "the leader has received a hello",
      () => leader.hellos.length > 0,
    );
  }
  await Promise.all(
    unresponsive.map((server) => server[Symbol.asyncDispose]()),
  );
  assert.is(openAtHello, UNRESPONSIVE_COUNT);
});

test("a leader that is slow to welcome a gateway receives one hello", async () => {
  let welcomed = 0;
  await using leader = await startSessionServer((message, send) => {
    if (message.type === "beat") welcomed += 1;
    if (message.type !== "hello") return;
    void sleep(SLOW_WELCOME_MS).then(() => send(WELCOME));
  });
  await using _started = await startOneGateway([leader.address]);
  await until("the gateway has a session", () => welcomed > 0);
  assert.is(leader.hellos.length, 1);
});

// Guards against a fixed timeout: each attempt was given up before its answer came,
// and the next one waited no longer.
test("a gateway reaches a leader whose answer takes longer than the first timeout", async () => {
  let welcomed = 0;
  await using leader = await startSessionServer((message, send) => {
    if (message.type === "beat") welcomed += 1;
    if (message.type !== "hello") return;
    void sleep(STARVED_WELCOME_MS).then(() => send(WELCOME));
  });
  await using _started = await startOneGateway([leader.address]);
  await until("the gateway has a session", () => welcomed > 0);
  assert.ok(leader.hellos.length <= 2);
});

// Guards against gateways without a leader that keep control processes too busy to
// elect one.
test("a gateway that is redirected without an address backs off between attempts", async () => {
  await using follower = await startSessionServer((message, send) => {
    if (message.type === "hello") send({ type: "redirect", address: "" });
  });
  await using _link = openLink({
    getSeedAddresses: () => [follower.address],
  });
  await sleep(REDIRECT_MS);
  const doublings = Math.log2(REDIRECT_MS / FIRST_BACK_OFF_MS);
  assert.ok(follower.hellos.length > 1);
  assert.ok(
    follower.hellos.length <= doublings + 2,
    `${follower.hellos.length}`,
  );
});

test.run();
