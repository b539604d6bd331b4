/**
 * Soak test of partitions: gateways lose their paths to all upstreams again and again,
 * at overlapping times, beside silent engines and the loss of the leader. Compares the
 * first tries at these gateways with those at the others.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createRandomSource } from "../../proof/random_source.ts";
import {
  addEnginesPerPlace,
  call,
  expectStream,
  startServingFleet,
  stopLeader,
} from "./fleet.ts";
import { countRepeatedRuns, freezeEngine } from "./soak_callers.ts";
import {
  type PartitionedGateway,
  startPartitionedGateway,
} from "./start_partitioned_gateway.ts";
import type { PartitionKind } from "./upstream_partition.ts";

/** Options of {@link runPartitionSoak}. */
export interface RunPartitionSoakOptions {
  readonly seed: number;
  /** Ms during which callers send requests. */
  readonly lengthMs: number;
}

/** First tries, and how many of them were served. */
export interface TryCount {
  tries: number;
  served: number;
}

/** Counts of one run. */
export interface PartitionSoakReport {
  readonly seed: number;
  /** First tries at gateways that had been cut off for a while. */
  readonly cutOff: TryCount;
  /** First tries at gateways that were not cut off. */
  readonly others: TryCount;
  /** Answers with status 200 that are incomplete or wrong. */
  readonly spoilt: number;
  /** Requests that were refused as not run, but had run. */
  readonly falselyRefused: number;
  /** Runs beyond the first of requests that must run at most once. */
  readonly ranTwice: number;
  /** Requests that ran on more upstreams than their route allows. */
  readonly ranTooOften: number;
}

const KINDS: readonly PartitionKind[] = ["hang", "reset", "refuseNew"];

const ROUTES = ["/stream/1", "/safe/1", "/once/1"];

/** Gateways that are never cut off. */
const WHOLE_GATEWAYS = 2;

/** Ms between two requests. */
const REQUEST_INTERVAL_MS = 15;

/** Ms from the beginning of a partition within which requests may still fail. */
const DETECTION_MS = 1_000;

/** Ms after a partition in which a gateway counts as neither cut off nor whole. */
const RECOVERY_MS = 1_000;

/** Largest number of upstreams that a route allows. */
const MAX_ATTEMPTS = 2;

/** Ms for which a sound engine may be silent. */
const MAX_FREEZE_MS = 1_000;

interface CutGateway {
  readonly gateway: PartitionedGateway;
  isCut: boolean;
  /** When the partition last began or ended, in ms. */
  changedMs: number;
}

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed and the duration.
 * @returns The counts of the run.
 * @throws {Error} When the fleet does not start serving.
 * @example
 * const report = await runPartitionSoak({ seed: 1, lengthMs: 8_000 });
 */
export async function runPartitionSoak(
  { seed, lengthMs }: RunPartitionSoakOptions,
): Promise<PartitionSoakReport> {
  const random = createRandomSource(seed);
  await using fleet = await startServingFleet({ gateways: WHOLE_GATEWAYS });
  await addEnginesPerPlace(fleet);
  await using one = await startPartitionedGateway(fleet);
  await using two = await startPartitionedGateway(fleet);
  await using three = await startPartitionedGateway(fleet);
  const cutGateways: CutGateway[] = [one, two, three]
    .map((gateway) => ({ gateway, isCut: false, changedMs: -Infinity }));
  const endMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= endMs;
  const cutOff: TryCount = { tries: 0, served: 0 };
  const others: TryCount = { tries: 0, served: 0 };
  const refusedIds: string[] = [];
  let spoilt = 0;

  async function cutAgainAndAgain(target: CutGateway): Promise<void> {
    while (!isOver()) {
      await sleep(random.integer(200, 1_500));
      target.gateway.cut(random.pick(KINDS));
      Object.assign(target, { isCut: true, changedMs: performance.now() });
      await sleep(random.integer(500, 4_000));
      target.gateway.heal();
      Object.assign(target, { isCut: false, changedMs: performance.now() });
    }
  }

  async function freezeEngines(): Promise<void> {
    while (!isOver()) {
      await sleep(random.integer(500, 2_500));
      const engine = random.pick(fleet.engines);
      await freezeEngine(engine, random.integer(100, MAX_FREEZE_MS));
    }
  }

  async function loseLeader(): Promise<void> {
    await sleep(random.integer(lengthMs / 4, lengthMs / 2));
    await stopLeader(fleet);
  }

  // A try counts by the state of its gateway at its start. Those that begin while the
  // state is about to change count for neither side.
  function chooseTarget(): { address: string; count: TryCount | undefined } {
    const at = random.integer(0, cutGateways.length + WHOLE_GATEWAYS - 1);
    if (at >= cutGateways.length) {
      const { address } = fleet.gateways[at - cutGateways.length];
      return { address, count: others };
    }
    const { gateway: { address }, isCut, changedMs } = cutGateways[at];
    const sinceMs = performance.now() - changedMs;
    if (isCut) {
      return { address, count: sinceMs > DETECTION_MS ? cutOff : undefined };
    }
    return { address, count: sinceMs > RECOVERY_MS ? others : undefined };
  }

  async function sendOne(at: number): Promise<void> {
    const { address, count } = chooseTarget();
    const path = ROUTES[at % ROUTES.length];
    const idPrefix = `${seed}-${path.slice(1, 5)}`;
    const answer = await call(address, { path, idPrefix, deadlineMs: 3_000 })
      .catch(() => undefined);
    if (count) count.tries += 1;
    if (answer?.status === 503) refusedIds.push(answer.requestId);
    if (answer?.status !== 200) return;
    if (count) count.served += 1;
    const whole = path === "/stream/1"
      ? expectStream()
      : `answer to ${answer.requestId}`;
    if (answer.text !== whole) spoilt += 1;
  }

  async function sendAll(): Promise<void> {
    const running: Promise<void>[] = [];
    for (let at = 0; !isOver(); at++) {
      running.push(sendOne(at));
      await sleep(REQUEST_INTERVAL_MS);
    }
    await Promise.all(running);
  }

  await Promise.all([
    ...cutGateways.map(cutAgainAndAgain),
    freezeEngines(),
    loseLeader(),
    sendAll(),
  ]);
  const upstreams = [...fleet.engines, ...fleet.plain];
  const runCounts = new Map<string, number>();
  for (const { requestId } of upstreams.flatMap(({ runs }) => runs)) {
    runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1);
  }
  return {
    seed,
    cutOff,
    others,
    spoilt,
    falselyRefused: refusedIds.filter((id) => runCounts.has(id)).length,
    ranTwice: countRepeatedRuns(upstreams),
    ranTooOften: [...runCounts.values()]
      .filter((count) => count > MAX_ATTEMPTS).length,
  };
}

/** Least share, relative to the others, of first tries that is served. */
const MIN_SERVED_RATIO = 0.95;

/** Whether a run broke what must hold. */
export function isBadRun(report: PartitionSoakReport): boolean {
  const { cutOff, others } = report;
  const isServedLess = cutOff.served * others.tries <
    MIN_SERVED_RATIO * others.served * cutOff.tries;
  return isServedLess || report.spoilt + report.falselyRefused +
          report.ranTwice + report.ranTooOften > 0;
}
