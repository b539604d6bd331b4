/**
 * Soak test of rate limits: engines announce, change and withdraw limits under random
 * faults. Checks how many requests reach them in each window.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createRandomSource } from "../../proof/random_source.ts";
import type { EngineArrival, LayerEngine } from "../../standins/index.ts";
import { startServingFleet, stopLeader, type TestFleet } from "./fleet.ts";
import {
  countRepeatedRuns,
  freezeEngine,
  listRequests,
  sendRequestsUntil,
} from "./soak_callers.ts";

/** Options of {@link runLimitSoak}. */
export interface RunLimitSoakOptions {
  readonly seed: number;
  /** Ms during which callers send requests. */
  readonly lengthMs: number;
}

/** Counts of one run. */
export interface LimitSoakReport {
  readonly seed: number;
  /** Number of windows of four seconds that were checked against a limit. */
  readonly windows: number;
  /** The most requests in one window, as a share of the allowed number. */
  readonly worstShare: number;
  /** Requests that reached an engine while it announced a limit. */
  readonly limitedRequests: number;
  readonly asked: number;
  readonly served: number;
  readonly refused: number;
  /** Answers with status 200 that are incomplete or wrong. */
  readonly spoilt: number;
  /** Runs beyond the first of requests that must run at most once. */
  readonly ranTwice: number;
}

/** Length of a window, in ms. */
const WINDOW_MS = 4_000;

/** Ms after the first answer with a limit until all gateways must keep it. */
const PROPAGATION_MS = 3_000;

/** Ms that a changed limit takes to reach all gateways. */
const CHANGE_PROPAGATION_MS = 500;

/** Requests allowed in a window: a multiple of the limit, and some more. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_EXTRA = 5;

/** Longest time, in ms, for which an engine announces no limit. */
const MAX_UNLIMITED_MS = 8_000;

/** Number of actors that draw random numbers. */
const ACTOR_COUNT = 5;

/** Lines of the header field, and the requests per second that they allow. */
const ANNOUNCED_LIMITS: readonly (readonly [readonly string[], number])[] = [
  [["4.6"], 4.6],
  [["2"], 2],
  [["0.5"], 0.5],
  [["0"], 0],
  [["12", "7.5"], 7.5],
];

const LIMITS_PER_S = new Map(
  ANNOUNCED_LIMITS.map(([lines, limitPerS]) => [lines.join(), limitPerS]),
);

/** The limit that an engine announces from a time on; Infinity for none. */
interface LimitChange {
  readonly atMs: number;
  readonly limitPerS: number;
}

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed and the duration.
 * @returns The counts of the run.
 * @throws {Error} When the fleet does not start serving.
 * @example
 * const report = await runLimitSoak({ seed: 1, lengthMs: 15_000 });
 */
export async function runLimitSoak(
  { seed, lengthMs }: RunLimitSoakOptions,
): Promise<LimitSoakReport> {
  // Each actor has its own random source, so that its draws depend on the seed only
  // and not on the timing of the others.
  const createRandomFor = (actor: number) =>
    createRandomSource(seed * ACTOR_COUNT + actor);
  await using fleet = await startServingFleet({ gateways: 4 });
  const all = [...fleet.engines, ...fleet.plain];
  const restarts = createRandomFor(0);
  for (const { fault } of all) {
    fault.restartsAfterMs = restarts.integer(300, 900);
  }
  const history = new Map(all.map((engine) => [engine, [] as LimitChange[]]));
  const runUntilMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= runUntilMs;
  const tally = { asked: 0, served: 0, refused: 0, spoilt: 0 };

  function announce(engine: LayerEngine, lines: readonly string[] | undefined) {
    engine.fault.announcesLimit = lines;
    const limitPerS = LIMITS_PER_S.get(lines?.join() ?? "") ?? Infinity;
    history.get(engine)?.push({ atMs: performance.now(), limitPerS });
  }

  // Each engine independently announces a series of limits for a while, then none.
  async function varyLimit(engine: LayerEngine, at: number): Promise<void> {
    const random = createRandomSource(seed * 1_000 + at);
    engine.fault.announcesLimitToAll = random.chance(0.5);
    while (!isOver()) {
      await sleep(random.integer(0, MAX_UNLIMITED_MS));
      const endMs = performance.now() + random.integer(7_500, 11_000);
      while (!isOver() && performance.now() < endMs) {
        announce(engine, random.pick(ANNOUNCED_LIMITS)[0]);
        await sleep(random.integer(2_000, 6_000));
      }
      announce(engine, undefined);
    }
  }

  async function injectFaults(): Promise<void> {
    const random = createRandomFor(2);
    while (!isOver()) {
      await sleep(random.integer(1_500, 4_000));
      const engine = random.pick(all);
      const frozenMs = random.integer(300, 800);
      if (random.chance(0.3)) await engine.failAndRestart();
      else if (random.chance(0.5)) await freezeEngine(engine, frozenMs);
      else await replaceGateway(fleet);
    }
  }

  async function maybeStopLeader(): Promise<void> {
    const random = createRandomFor(3);
    await sleep(lengthMs * (0.3 + 0.4 * random.number()));
    if (random.chance(0.7)) await stopLeader(fleet);
  }

  const callers = sendRequestsUntil({
    fleet,
    random: createRandomFor(1),
    isOver,
    tally,
  });
  await Promise.all([
    callers,
    injectFaults(),
    maybeStopLeader(),
    ...all.map(varyLimit),
  ]);
  const windows = all.flatMap((engine) =>
    getWindowShares(engine, history.get(engine) ?? [])
  );
  const requests = all.flatMap(listRequests);
  return {
    seed,
    windows: windows.length,
    worstShare: Math.max(0, ...windows),
    limitedRequests:
      requests.filter(({ announcedLimit }) => announcedLimit).length,
    ...tally,
    ranTwice: countRepeatedRuns(fleet.plain),
  };
}

async function replaceGateway(fleet: TestFleet): Promise<void> {
  const [oldest] = fleet.gateways.splice(0, 1);
  await Promise.all([fleet.addGateway(), oldest.gateway.stop()]);
}

// Requests in each window, as a share of the allowed number; only windows within one
// incarnation and one limited period of the engine.
function getWindowShares(
  engine: LayerEngine,
  history: readonly LimitChange[],
): number[] {
  const requests = listRequests(engine);
  return requests.flatMap(({ atMs: fromMs, incarnationStartMs }) => {
    const toMs = fromMs + WINDOW_MS;
    const first = findLimitStart(requests, { fromMs, incarnationStartMs });
    if (first === undefined || first + PROPAGATION_MS > fromMs) return [];
    const allowed = sumAllowed(history, { fromMs, toMs });
    if (allowed === Infinity) return [];
    const count = requests.filter((one) =>
      one.incarnationStartMs === incarnationStartMs && one.atMs >= fromMs &&
      one.atMs < toMs
    ).length;
    return [count / (ALLOWED_FACTOR * allowed + ALLOWED_EXTRA)];
  });
}

// When the incarnation began the limited period that includes a time.
function findLimitStart(
  requests: readonly EngineArrival[],
  { fromMs, incarnationStartMs }: {
    readonly fromMs: number;
    readonly incarnationStartMs: number;
  },
): number | undefined {
  const before = requests.filter((one) =>
    one.incarnationStartMs === incarnationStartMs && one.atMs <= fromMs
  );
  const unlimited = before.findLastIndex(({ announcedLimit }) =>
    !announcedLimit
  );
  return before[unlimited + 1]?.atMs;
}

// Requests that the limits allow in a window; each limit counts for
// CHANGE_PROPAGATION_MS longer than it is announced.
function sumAllowed(
  history: readonly LimitChange[],
  { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
): number {
  const stepMs = 50;
  let sum = 0;
  for (let atMs = fromMs; atMs < toMs; atMs += stepMs) {
    const named = history.filter((one, at) => {
      const endMs = history[at + 1]?.atMs ?? Infinity;
      return one.atMs <= atMs && endMs > atMs - CHANGE_PROPAGATION_MS;
    });
    const limitPerS = named.length === 0
      ? Infinity
      : Math.max(...named.map((one) => one.limitPerS));
    sum += limitPerS * stepMs / 1_000;
  }
  return sum;
}
