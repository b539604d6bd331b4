/**
 * What a gateway that is cut off from upstreams makes others believe of them.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import {
  addEnginesPerPlace,
  call,
  startServingFleet,
} from "./support/fleet.ts";
import {
  type LoggedLine,
  startPartitionedGateway,
} from "./support/start_partitioned_gateway.ts";

/** Events of a stream; it runs for some 2 s. */
const EVENTS = 400;

/** Streams that a gateway runs when it is cut off. */
const STREAMS = 6;

/** Starts streams a few ms apart, and doesn't wait for their ends. */
async function startStreams(address: string): Promise<Promise<unknown>[]> {
  const streams: Promise<unknown>[] = [];
  for (let at = 0; at < STREAMS; at++) {
    streams.push(call(address, { path: "/stream/1" }).catch(() => {}));
    await sleep(20);
  }
  return streams;
}

for (const kind of ["hang", "reset"] as const) {
  test(`two gateways that are cut off don't make others leave out healthy engines: ${kind}`, async () => {
    const lines: LoggedLine[] = [];
    await using fleet = await startServingFleet({
      controls: 1,
      events: EVENTS,
      log: (event, fields = {}) => void lines.push({ event, fields }),
    });
    await using one = await startPartitionedGateway(fleet);
    await using two = await startPartitionedGateway(fleet);
    const [healthy] = fleet.gateways;
    const addresses = [healthy.address, one.address, two.address];
    const streams = await Promise.all(addresses.map(startStreams));
    for (const gateway of [one, two]) gateway.cut(kind);
    await Promise.all(streams.flat());
    const suspected = lines.filter(({ event }) => event === "engineSuspected");
    assert.equal(suspected, []);
  });
}

test("a refused connection is no crash of an engine when all others refuse too", async () => {
  await using fleet = await startServingFleet({ controls: 1, events: EVENTS });
  await using gateway = await startPartitionedGateway(fleet);
  const streams = await startStreams(gateway.address);
  gateway.cut("reset");
  await Promise.all(streams);
  const events = gateway.lines.map(({ event }) => event);
  assert.not(events.includes("upstreamEnded"));
  assert.not(events.includes("requestHeldBack"));
});

test("a refused connection is no crash of an engine whose heartbeats go on", async () => {
  await using fleet = await startServingFleet({ controls: 1, events: EVENTS });
  await addEnginesPerPlace(fleet);
  await using gateway = await startPartitionedGateway(fleet);
  const streams = await startStreams(gateway.address);
  const busy = fleet.engines.filter(({ getPaths }) => getPaths().length > 0);
  gateway.cut("reset", busy.slice(0, 1));
  await Promise.all(streams);
  const events = gateway.lines.map(({ event }) => event);
  assert.not(events.includes("upstreamEnded"));
});

// Without that, requests that only met a lost path are suspected for ten minutes, and
// the next such report puts them on trial.
test("a crash of an upstream whose heartbeats go on is withdrawn from its request", async () => {
  await using fleet = await startServingFleet({ controls: 1 });
  await using gateway = await startPartitionedGateway(fleet);
  const [{ control }] = fleet.controls;
  async function countCases(): Promise<number> {
    const reply = await control.call({ type: "listCases" });
    return reply.type === "cases" ? reply.cases.length : -1;
  }
  for (const { fault } of fleet.plain) fault.hangs = true;
  const answer = call(gateway.address, { path: "/once/1" }).catch(() => {});
  const findRunning = () => fleet.plain.find(({ runs }) => runs.length > 0);
  await until("an upstream runs it", () => findRunning() !== undefined);
  gateway.cut("reset", fleet.plain.filter((one) => one === findRunning()));
  await until("its crash is recorded", async () => await countCases() === 1);
  await until("it is withdrawn", async () => await countCases() === 0);
  await answer;
  const events = gateway.lines.map(({ event }) => event);
  assert.ok(events.includes("upstreamEndSuspected"));
  assert.not(events.includes("upstreamEnded"));
});

// Operators rely on the log line to find requests that crash upstreams.
test("a refused connection is logged as a crash once the heartbeats have stopped", async () => {
  const events: string[] = [];
  await using fleet = await startServingFleet({
    controls: 1,
    gateways: 1,
    log: (event) => void events.push(event),
  });
  for (const { fault } of fleet.plain) fault.hangs = true;
  const [{ address }] = fleet.gateways;
  const answer = call(address, { path: "/once/1" }).catch(() => {});
  const findRunning = () => fleet.plain.find(({ runs }) => runs.length > 0);
  await until("an upstream runs it", () => findRunning() !== undefined);
  await findRunning()?.crash();
  const includes = (sought: string) => events.includes(sought);
  await until("it is suspected", () => includes("upstreamEndSuspected"));
  await until("the crash is confirmed", () => includes("upstreamEnded"));
  await answer;
});

test("callers are directed to gateways that reach the upstreams, while there are enough", async () => {
  await using fleet = await startServingFleet({ controls: 1 });
  await using gateway = await startPartitionedGateway(fleet);
  const [{ gateway: other }] = fleet.gateways;
  const lists = () => other.listAddresses("p1").includes(gateway.address);
  await until("the gateway is listed", lists);
  gateway.cut("refuseNew");
  await call(gateway.address, { path: "/once/1" });
  await until("callers are directed to others", () => !lists());
  assert.ok(gateway.isReady());
  gateway.heal();
  await until("the gateway is listed again", lists);
});

test.run();
