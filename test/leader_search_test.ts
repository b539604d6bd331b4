/**
 * A gateway that looks for the leader among control processes that are slow or
 * silent.
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

/** Control processes that say nothing. */
const SILENT = 5;

/** Ms for which a loaded leader lets gateways wait in the last test. */
const SLOW_WELCOME_MS = 1_500;

/** Ms for an answer of a leader that gets hardly any processor time. */
const STARVED_WELCOME_MS = 4_000;

/** Ms for which a gateway is sent away again and again. */
const SENT_AWAY_MS = 3_000;

/** Longest wait, in ms, before a gateway asks the second time. */
const FIRST_RETRY_MS = 100;

test("a control process that says nothing doesn't keep a gateway from asking the next", async () => {
  await using silent = await startSessionServer(() => {});
  let openWhenAsked = -1;
  await using leader = await startSessionServer((message) => {
    if (message.type === "hello") openWhenAsked = silent.getOpen();
  });
  await using _started = await startOneGateway([
    silent.address,
    leader.address,
  ]);
  await until("the leader is asked", () => leader.hellos.length > 0);
  assert.is(openWhenAsked, 1);
});

test("a gateway asks the next control process however many say nothing", async () => {
  const silent: SessionServer[] = [];
  for (let at = 0; at < SILENT; at++) {
    silent.push(await startSessionServer(() => {}));
  }
  const countOpen = () =>
    silent.reduce((sum, server) => sum + server.getOpen(), 0);
  let openWhenAsked = -1;
  await using leader = await startSessionServer((message) => {
    if (message.type === "hello") openWhenAsked = countOpen();
  });
  const addresses = [...silent, leader].map(({ address }) => address);
  {
    await using _started = await startOneGateway(addresses);
    await until("the leader is asked", () => leader.hellos.length > 0);
  }
  await Promise.all(silent.map((server) => server[Symbol.asyncDispose]()));
  assert.is(openWhenAsked, SILENT);
});

test("a leader that takes long to welcome a gateway is asked once", async () => {
  let welcomed = 0;
  await using leader = await startSessionServer((message, tell) => {
    if (message.type === "beat") welcomed += 1;
    if (message.type !== "hello") return;
    void sleep(SLOW_WELCOME_MS).then(() => tell(WELCOME));
  });
  await using _started = await startOneGateway([leader.address]);
  await until("it has a session", () => welcomed > 0);
  assert.is(leader.hellos.length, 1);
});

// Each try was given up before its answer came, and the next one waited as long.
test("a leader that takes longer to answer than a gateway waits is reached", async () => {
  let welcomed = 0;
  await using leader = await startSessionServer((message, tell) => {
    if (message.type === "beat") welcomed += 1;
    if (message.type !== "hello") return;
    void sleep(STARVED_WELCOME_MS).then(() => tell(WELCOME));
  });
  await using _started = await startOneGateway([leader.address]);
  await until("it has a session", () => welcomed > 0);
  assert.ok(leader.hellos.length <= 2);
});

// Gateways without a leader kept control processes too busy to elect one.
test("a gateway that is sent away asks less and less often", async () => {
  await using follower = await startSessionServer((message, tell) => {
    if (message.type === "hello") tell({ type: "redirect", address: "" });
  });
  await using _link = openLink({
    getSeedAddresses: () => [follower.address],
  });
  await sleep(SENT_AWAY_MS);
  const doublings = Math.log2(SENT_AWAY_MS / FIRST_RETRY_MS);
  assert.ok(follower.hellos.length > 1);
  assert.ok(
    follower.hellos.length <= doublings + 2,
    `${follower.hellos.length}`,
  );
});

test.run();
