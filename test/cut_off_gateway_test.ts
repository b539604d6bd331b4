/**
 * Gateways that reach no upstream while callers, control processes and other gateways
 * still reach them.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { call, expectStream, startServingFleet } from "./support/fleet.ts";
import { startPartitionedGateway } from "./support/start_partitioned_gateway.ts";
import type { PartitionKind } from "./support/upstream_partition.ts";

/** Requests of each route before and during a partition. */
const REQUESTS_PER_ROUTE = 20;

/** Ms from the beginning of a partition within which requests may still fail. */
const DETECTION_MS = 1_000;

/** Share of the first tries that has to be served from then on. */
const MIN_SERVED_SHARE = 0.95;

const ROUTES = ["/stream/1", "/once/1", "/safe/1"];

/** Requests of a route at a time; more than were open when the partition began. */
const CONCURRENCY = { before: 1, during: 5 };

/** Sends requests on each route; returns the share of the worst-served route. */
async function callAll(
  address: string,
  { concurrency }: { concurrency: number },
): Promise<number> {
  const shares = await Promise.all(ROUTES.map(async (path) => {
    const callers = Array.from(
      { length: concurrency },
      () => callInTurn(address, path, REQUESTS_PER_ROUTE / concurrency),
    );
    const served = await Promise.all(callers);
    return served.reduce((sum, count) => sum + count, 0) / REQUESTS_PER_ROUTE;
  }));
  return Math.min(...shares);
}

async function callInTurn(
  address: string,
  path: string,
  count: number,
): Promise<number> {
  let served = 0;
  for (let at = 0; at < count; at++) {
    const answer = await call(address, { path }).catch(() => undefined);
    const isWhole = path !== "/stream/1" || answer?.text === expectStream();
    if (answer?.status === 200 && isWhole) served += 1;
  }
  return served;
}

for (const kind of ["hang", "reset", "refuseNew"] satisfies PartitionKind[]) {
  test(`first tries at a gateway cut off from all upstreams are served by its peers: ${kind}`, async () => {
    await using fleet = await startServingFleet({ controls: 1 });
    await using gateway = await startPartitionedGateway(fleet);
    const { before, during } = CONCURRENCY;
    assert.is(await callAll(gateway.address, { concurrency: before }), 1);
    gateway.cut(kind);
    await sleep(DETECTION_MS);
    const share = await callAll(gateway.address, { concurrency: during });
    assert.ok(share >= MIN_SERVED_SHARE, `served ${share} of the first tries`);
  });
}

test("a gateway that left out all upstreams of a service before it was cut off finds out", async () => {
  await using fleet = await startServingFleet({ controls: 1 });
  await using gateway = await startPartitionedGateway(fleet);
  // Both upstreams are left out after broken answers, and a check found them reachable.
  for (const { fault } of fleet.plain) fault.dropsAnswers = true;
  await call(gateway.address, { path: "/safe/1" });
  for (const { fault } of fleet.plain) fault.dropsAnswers = undefined;
  gateway.cut("refuseNew");
  await sleep(300);
  const { status } = await call(gateway.address, { path: "/safe/1" });
  assert.is(status, 200);
});

test.run();
