/**
 * Soak test of back-off and leaving: engines reject requests with `Retry-After` and
 * announce that they leave, under random faults. Checks which requests still reach
 * them.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createRandomSource } from "../../proof/random_source.ts";
import type { EngineArrival, LayerEngine } from "../../standins/index.ts";
import { startServingFleet, stopLeader } from "./fleet.ts";
import {
  countRepeatedRuns,
  freezeEngine,
  listRequests,
  sendRequestsUntil,
} from "./soak_callers.ts";

/** Options of {@link runRestSoak}. */
export interface RunRestSoakOptions {
  readonly seed: number;
  /** Ms during which callers send requests. */
  readonly lengthMs: number;
}

/** Counts of one run. */
export interface RestSoakReport {
  readonly seed: number;
  /** Back-off periods that engines requested from gateways. */
  readonly rests: number;
  /** The most requests of one gateway in such a period, after its first half second. */
  readonly worstRest: number;
  /** Answers that told a gateway that the engine leaves. */
  readonly leaves: number;
  /** Requests of a gateway later than two seconds after it received such an answer. */
  readonly lateAtHearer: number;
  /** Requests of any gateway later than three seconds after the first such answer. */
  readonly lateAnywhere: number;
  readonly asked: number;
  readonly served: number;
  readonly refused: number;
  /** Answers with status 200 that are incomplete or wrong. */
  readonly spoilt: number;
  /** Runs beyond the first of requests that must run at most once. */
  readonly ranTwice: number;
}

/** Requests that one gateway may send during a back-off, as the aim states. */
export const MAX_REQUESTS_IN_BACK_OFF = 2;

/** Ms after `Retry-After` was sent in which requests may still be in flight. */
const IN_FLIGHT_MS = 500;

/** Ms in which a gateway must stop sending after an answer that announces leaving. */
const STOP_SENDING_MS = 2_000;

/** Ms in which all gateways must stop sending after the first such answer. */
const PROPAGATION_MS = 3_000;

/** Number of actors that draw random numbers. */
const ACTOR_COUNT = 6;

/** Share of engines that reject requests at a time. */
const OVERLOADED_SHARE = 1 / 3;

/** Lines of `Retry-After`, and the back-off in ms that they request. */
const RETRY_AFTER_VALUES: readonly (readonly [readonly string[], number])[] = [
  [["1.2"], 1_200],
  [["0.7"], 700],
  [["2"], 2_000],
  [["0.4", "1"], 1_000],
  [["0"], 0],
  [["-3"], 0],
  [["soon"], 0],
];

const BACK_OFFS_MS = new Map(
  RETRY_AFTER_VALUES.map(([lines, ms]) => [lines.join(), ms]),
);

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed and the duration.
 * @returns The counts of the run.
 * @throws {Error} When the fleet does not start serving.
 * @example
 * const report = await runRestSoak({ seed: 1, lengthMs: 5_000 });
 */
export async function runRestSoak(
  { seed, lengthMs }: RunRestSoakOptions,
): Promise<RestSoakReport> {
  // Each actor has its own random source, so that its draws depend on the seed only
  // and not on the timing of the others.
  const createRandomFor = (actor: number) =>
    createRandomSource(seed * ACTOR_COUNT + actor);
  await using fleet = await startServingFleet({ gateways: 3 });
  for (const place of ["p1", "p1", "p2", "p2"]) await fleet.addEngine(place);
  for (let at = 0; at < 3; at++) await fleet.addPlainEngine();
  const all = [...fleet.engines, ...fleet.plain];
  const restarts = createRandomFor(0);
  for (const { fault } of all) {
    fault.restartsAfterMs = restarts.integer(300, 900);
  }
  const endMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= endMs;
  const tally = { asked: 0, served: 0, refused: 0, spoilt: 0 };
  // A third of all engines at a time is overloaded and rejects requests.
  async function overloadEngines(): Promise<void> {
    const random = createRandomFor(2);
    while (!isOver()) {
      for (const { fault } of all) {
        const [lines] = random.pick(RETRY_AFTER_VALUES);
        fault.rejectsWithRetryAfter = random.chance(OVERLOADED_SHARE)
          ? lines
          : undefined;
      }
      await sleep(random.integer(300, 1_000));
    }
  }

  // Leaving engines go on sending heartbeats that don't announce it.
  async function announceLeaving(): Promise<void> {
    const random = createRandomFor(3);
    const candidates = [fleet.engines.slice(4), fleet.plain.slice(2)].flat();
    for (const { fault } of candidates) {
      if (isOver()) return;
      await sleep(lengthMs / candidates.length * random.number());
      fault.announcesLeaving = true;
    }
  }

  async function injectFaults(): Promise<void> {
    const random = createRandomFor(4);
    while (!isOver()) {
      await sleep(random.integer(800, 2_300));
      const engine = random.pick(all);
      const frozenMs = random.integer(300, 800);
      if (random.chance(0.5)) await engine.failAndRestart();
      else await freezeEngine(engine, frozenMs);
    }
  }

  async function maybeStopLeader(): Promise<void> {
    const random = createRandomFor(5);
    await sleep(lengthMs * (0.3 + 0.4 * random.number()));
    if (random.chance(0.5)) await stopLeader(fleet);
  }

  const callers = sendRequestsUntil({
    fleet,
    random: createRandomFor(1),
    isOver,
    tally,
  });
  await Promise.all([
    callers,
    overloadEngines(),
    announceLeaving(),
    injectFaults(),
    maybeStopLeader(),
  ]);
  return {
    seed,
    ...tally,
    ...countWithinBackOffs(all),
    ...countAfterLeaving(all),
    ranTwice: countRepeatedRuns(fleet.plain),
  };
}

function isOfSameGateway(a: EngineArrival, b: EngineArrival): boolean {
  return a.requestId.split("-", 1)[0] === b.requestId.split("-", 1)[0];
}

// A back-off holds between one incarnation of an engine and one gateway.
function countWithinBackOffs(
  engines: readonly LayerEngine[],
): Pick<RestSoakReport, "rests" | "worstRest"> {
  const counts = engines.flatMap((engine) => {
    const requests = listRequests(engine);
    return requests.flatMap((rejection) => {
      const backOffMs =
        BACK_OFFS_MS.get(rejection.sentRetryAfter?.join() ?? "") ??
          0;
      if (backOffMs === 0) return [];
      const fromMs = rejection.atMs + IN_FLIGHT_MS;
      return requests.filter((one) =>
        one.atMs > fromMs && one.atMs < rejection.atMs + backOffMs &&
        one.incarnationStartMs === rejection.incarnationStartMs &&
        isOfSameGateway(one, rejection)
      ).length;
    });
  });
  return { rests: counts.length, worstRest: Math.max(0, ...counts) };
}

function countAfterLeaving(
  engines: readonly LayerEngine[],
): Pick<RestSoakReport, "leaves" | "lateAtHearer" | "lateAnywhere"> {
  const result = { leaves: 0, lateAtHearer: 0, lateAnywhere: 0 };
  for (const engine of engines) {
    const requests = listRequests(engine);
    const announcements = requests.filter(({ announcedLeaving }) =>
      announcedLeaving
    );
    result.leaves += announcements.length;
    for (const one of requests) {
      const sameIncarnation = announcements.filter(({ incarnationStartMs }) =>
        incarnationStartMs === one.incarnationStartMs
      );
      const isLate = sameIncarnation.some((other) =>
        one.atMs > other.atMs + STOP_SENDING_MS && isOfSameGateway(one, other)
      );
      if (isLate) result.lateAtHearer += 1;
      if (
        sameIncarnation.some(({ atMs }) => one.atMs > atMs + PROPAGATION_MS)
      ) {
        result.lateAnywhere += 1;
      }
    }
  }
  return result;
}
