/**
 * Soak test of overload: more requests of three priorities and three client accounts
 * than fit, beside random faults. Checks refusals, answers, recovery and the order of
 * ranks.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { until } from "../../demo/until.ts";
import { createRandomSource } from "../../proof/random_source.ts";
import { call, expectStream, startServingFleet, stopLeader } from "./fleet.ts";
import {
  makePriorityConfig,
  PRIORITY_KEYS,
  PRIORITY_PATHS,
} from "./make_config.ts";
import { countRepeatedRuns } from "./soak_callers.ts";
import { startPartitionedGateway } from "./start_partitioned_gateway.ts";
import type { PartitionKind } from "./upstream_partition.ts";

/** Options of {@link runOverloadSoak}. */
export interface RunOverloadSoakOptions {
  readonly seed: number;
  /** Ms during which callers send more requests than fit. */
  readonly lengthMs: number;
}

/** Requests of one rank, and how many of them were served. */
export interface RankCount {
  asked: number;
  served: number;
}

/** Counts of one run. */
export interface OverloadSoakReport {
  readonly seed: number;
  readonly asked: number;
  readonly served: number;
  readonly refused: number;
  readonly mostUrgent: RankCount;
  readonly leastUrgent: RankCount;
  /** Requests that were refused with 503, but had run. */
  readonly falselyRefused: number;
  /** Answers that began with status 200, and are incomplete or wrong: how each ended. */
  readonly spoilt: readonly string[];
  /** Runs beyond the first of requests that must run at most once. */
  readonly ranTwice: number;
  /** Callers whose answer had not ended by their deadline and a margin. */
  readonly unanswered: number;
  /** Requests after the recovery that were not served completely: how each ended. */
  readonly lateFailures: readonly string[];
}

/** Events of a stream: some 300 ms, so that 16 slots serve about 50 streams a second. */
const EVENTS = 50;

/** Ms between two requests; about twice the streams that fit. */
const REQUEST_INTERVAL_MS = 9;

const DEADLINE_MS = 2_000;

/** Stalls of the one process that runs the fleet are some 300 ms (KNOWN-RED.txt). */
const DEADLINE_MARGIN_MS = 1_000;

/** Ms after the overload from which every request is served; 3 s are required. */
const RECOVERY_MS = 5_000;

/** Ms between two requests after the recovery, far fewer than fit. */
const CALM_INTERVAL_MS = 50;

/** Requests after the recovery; enough for each route at each gateway. */
const CALM_REQUESTS = 32;

/** Grace period of gateways, in ms: a stream that was begun can end in it. */
const GRACE_MS = 3_000;

/** Share of its requests by which the least urgent rank may be ahead, as stated. */
const MAX_INVERSION = 0.05;

const KINDS: readonly PartitionKind[] = ["hang", "reset", "refuseNew"];

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed and the duration.
 * @returns The counts of the run.
 * @throws {Error} When the fleet does not start serving.
 * @example
 * const report = await runOverloadSoak({ seed: 1, lengthMs: 8_000 });
 */
export async function runOverloadSoak(
  { seed, lengthMs }: RunOverloadSoakOptions,
): Promise<OverloadSoakReport> {
  const callers = createRandomSource(seed * 2);
  const random = createRandomSource(seed * 2 + 1);
  await using fleet = await startServingFleet({
    gateways: 3,
    events: EVENTS,
    graceMs: GRACE_MS,
  });
  await using cutGateway = await startPartitionedGateway(fleet);
  const upstreams = [...fleet.engines, ...fleet.plain];
  for (const { fault } of upstreams) {
    fault.restartsAfterMs = random.integer(300, 900);
  }
  const tally = { asked: 0, served: 0, unanswered: 0 };
  const mostUrgent: RankCount = { asked: 0, served: 0 };
  const leastUrgent: RankCount = { asked: 0, served: 0 };
  const refusedIds: string[] = [];
  const spoilt: string[] = [];
  const stops: Promise<void>[] = [];
  // Empty while a change is on its way: requests then have either rank.
  let priorities: readonly number[] = [];
  let endMs = Infinity;
  const isOver = () => performance.now() >= endMs;

  async function configure(version: number, next: readonly number[]) {
    priorities = [];
    let at = 0;
    await until("a configuration is accepted", async () => {
      at += 1;
      return await fleet.put(makePriorityConfig(version, next), at % 3) === 200;
    });
    await fleet.waitForVersion(version);
    priorities = next;
  }

  // The account's priority comes before the route's, which it leaves to order requests.
  function getRankCount(path: string, account: string): RankCount | undefined {
    const priority = priorities[PRIORITY_PATHS.indexOf(path)];
    if (priority === 0) return mostUrgent;
    return priority === 2 && account !== "urgent" ? leastUrgent : undefined;
  }

  // Describes an answer that is not complete; undefined for a complete one.
  async function sendOne(
    path: string,
    leavesMs: number | false = false,
  ): Promise<string | undefined> {
    const { address } = callers.pick([cutGateway, ...fleet.gateways]);
    const key = callers.pick(PRIORITY_KEYS);
    const count = leavesMs ? undefined : getRankCount(path, key);
    tally.asked += 1;
    if (count) count.asked += 1;
    const startedMs = performance.now();
    const limitMs = leavesMs || DEADLINE_MS + DEADLINE_MARGIN_MS;
    const signal = AbortSignal.timeout(limitMs);
    let head: number | undefined;
    let failure: unknown;
    const answer = await call(address, {
      path,
      key,
      signal,
      deadlineMs: DEADLINE_MS,
      // Equal bodies would make a crash of an engine count against all requests.
      body: `${seed} ${tally.asked}`,
      onStatus: (status) => head = status,
    }).catch((error) => void (failure = error));
    if (answer?.status === 503) refusedIds.push(answer.requestId);
    const isAborted = signal.aborted && !answer;
    if (isAborted && !leavesMs) tally.unanswered += 1;
    const whole = path.startsWith("/stream")
      ? expectStream(EVENTS)
      : `answer to ${answer?.requestId}`;
    const isWhole = head === 200 && answer?.text === whole;
    if (isWhole) tally.served += 1;
    if (isWhole && count) count.served += 1;
    if (isWhole) return undefined;
    const where = address === cutGateway.address ? "cut" : "whole";
    const tookMs = Math.round(performance.now() - startedMs);
    const end = failure ?? answer?.text.slice(-100);
    const fault = `${path}, ${where} gateway, ${tookMs} ms, ${head}: ${end}`;
    if (head === 200 && !isAborted) spoilt.push(fault);
    return fault;
  }

  async function sendCalmly(): Promise<string[]> {
    const running: Promise<string | undefined>[] = [];
    for (let at = 0; at < CALM_REQUESTS; at++) {
      running.push(sendOne(PRIORITY_PATHS[at % PRIORITY_PATHS.length]));
      await sleep(CALM_INTERVAL_MS);
    }
    return (await Promise.all(running)).filter((fault) => fault !== undefined);
  }

  async function sendTooMany(): Promise<void> {
    const running: Promise<string | undefined>[] = [];
    while (!isOver()) {
      const leavesMs = callers.chance(0.1) && callers.integer(20, 400);
      running.push(sendOne(callers.pick(PRIORITY_PATHS), leavesMs));
      await sleep(REQUEST_INTERVAL_MS);
    }
    await Promise.all(running);
  }

  async function injectFaults(): Promise<void> {
    while (!isOver()) {
      await sleep(random.integer(400, 1_500));
      const kind = random.integer(0, 2);
      if (kind === 0) await random.pick(upstreams).failAndRestart();
      if (kind === 1) {
        cutGateway.cut(random.pick(KINDS));
        await sleep(random.integer(300, 2_000));
        cutGateway.heal();
      }
      if (kind === 2) {
        const [oldest] = fleet.gateways.splice(0, 1);
        stops.push(oldest.gateway.stop());
        await fleet.addGateway();
      }
    }
  }

  // A late change of the leader follows the configuration, an early one precedes it.
  async function changeLeaderAndPriorities(): Promise<void> {
    const isLeaderFirst = random.chance(0.5);
    await sleep(lengthMs * random.number() / 3);
    if (isLeaderFirst) await stopLeader(fleet);
    await sleep(lengthMs * random.number() / 3);
    await configure(3, random.pick([[2, 1, 0], [1, 2, 0], [2, 0, 1]]));
    if (!isLeaderFirst) await stopLeader(fleet);
  }

  await configure(2, [0, 1, 2]);
  endMs = performance.now() + lengthMs;
  await Promise.all([
    sendTooMany(),
    injectFaults(),
    changeLeaderAndPriorities(),
  ]);
  await sleep(RECOVERY_MS);
  priorities = [];
  const lateFailures = await sendCalmly();
  await Promise.all(stops);
  const ran = new Set(
    upstreams.flatMap(({ runs }) => runs.map(({ requestId }) => requestId)),
  );
  return {
    seed,
    ...tally,
    refused: refusedIds.length,
    spoilt,
    mostUrgent,
    leastUrgent,
    falselyRefused: refusedIds.filter((id) => ran.has(id)).length,
    ranTwice: countRepeatedRuns(upstreams),
    lateFailures,
  };
}

/** Lists what a run violated; empty for a good run. */
export function listOverloadFaults(report: OverloadSoakReport): string[] {
  const { mostUrgent, leastUrgent } = report;
  const getShare = ({ asked, served }: RankCount) => served / asked;
  const lead = getShare(leastUrgent) - getShare(mostUrgent);
  const faults = {
    noOverload: report.refused === 0 || !(lead <= 1),
    falselyRefused: report.falselyRefused > 0,
    spoilt: report.spoilt.length > 0,
    ranTwice: report.ranTwice > 0,
    unanswered: report.unanswered > 0,
    lateFailures: report.lateFailures.length > 0,
    inverted: !(lead <= MAX_INVERSION),
  };
  return Object.entries(faults).filter(([, isBad]) => isBad)
    .map(([name]) => name);
}
