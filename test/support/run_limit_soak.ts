/**
 * A fleet under random troubles while engines name rate limits, change them and drop
 * them: how much reaches them all the same.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createRandomSource } from "../../proof/random_source.ts";
import type { EngineArrival, LayerEngine } from "../../standins/index.ts";
import { startServing, stopLeader, type TestFleet } from "./fleet.ts";
import {
  askUntil,
  countRepeats,
  freezeEngine,
  listRequests,
} from "./soak_callers.ts";

/** What a soak plays. */
export interface RunLimitSoakOptions {
  readonly seed: number;
  /** Ms for which callers ask. */
  readonly lengthMs: number;
}

/** What came of a soak. */
export interface LimitSoakReport {
  readonly seed: number;
  /** Windows of four seconds of an engine's limit that were judged. */
  readonly windows: number;
  /** The most requests in one of them, as a share of what may come. */
  readonly worstShare: number;
  /** Requests that reached engines which named a limit. */
  readonly limitedRequests: number;
  readonly asked: number;
  readonly served: number;
  readonly refused: number;
  /** Answers that were given as whole and are not. */
  readonly spoilt: number;
  /** Requests that must not be repeated and ran more than once. */
  readonly ranTwice: number;
}

/** Ms of a window. */
const WINDOW_MS = 4_000;

/** Ms that all gateways have from the first answer that named a limit. */
const NEWS_MS = 3_000;

/** Ms that a change of a limit takes to reach all gateways. */
const CHANGE_MS = 500;

/** Times what a limit allows that may come in a window, and requests besides. */
const ALLOWED_FACTOR = 1.5;
const ALLOWED_BESIDES = 5;

/** Ms for which an engine names no limit at a time, at most. */
const MOST_UNLIMITED_MS = 8_000;

/** Actors that draw by chance. */
const ACTORS = 5;

/** Lines of the field, and the requests a second that they allow. */
const NAMED: readonly (readonly [readonly string[], number])[] = [
  [["4.6"], 4.6],
  [["2"], 2],
  [["0.5"], 0.5],
  [["0"], 0],
  [["12", "7.5"], 7.5],
];

const LIMITS_PER_S = new Map(
  NAMED.map(([lines, limitPerS]) => [lines.join(), limitPerS]),
);

/** A value that an engine names from a time on; Infinity where it names none. */
interface NamedLimit {
  readonly atMs: number;
  readonly limitPerS: number;
}

/**
 * Plays one seed.
 *
 * @param options - The seed and the length.
 * @returns What came of it.
 * @throws {Error} When the fleet does not begin to serve.
 * @example
 * const report = await runLimitSoak({ seed: 1, lengthMs: 15_000 });
 */
export async function runLimitSoak(
  { seed, lengthMs }: RunLimitSoakOptions,
): Promise<LimitSoakReport> {
  // Each actor draws for itself: what one does hangs on the seed, not on when others
  // come to draw.
  const drawFor = (actor: number) => createRandomSource(seed * ACTORS + actor);
  await using fleet = await startServing({ gateways: 4 });
  const all = [...fleet.engines, ...fleet.plain];
  const restarts = drawFor(0);
  for (const { fault } of all) {
    fault.restartsAfterMs = restarts.integer(300, 900);
  }
  const history = new Map(all.map((engine) => [engine, [] as NamedLimit[]]));
  const untilMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= untilMs;
  const tally = { asked: 0, served: 0, refused: 0, spoilt: 0 };

  function name(engine: LayerEngine, lines: readonly string[] | undefined) {
    engine.fault.namesLimit = lines;
    const limitPerS = LIMITS_PER_S.get(lines?.join() ?? "") ?? Infinity;
    history.get(engine)?.push({ atMs: performance.now(), limitPerS });
  }

  // Each engine for itself: limited for a while, by one value after the other.
  async function limit(engine: LayerEngine, at: number): Promise<void> {
    const random = createRandomSource(seed * 1_000 + at);
    engine.fault.namesLimitToAll = random.chance(0.5);
    while (!isOver()) {
      await sleep(random.integer(0, MOST_UNLIMITED_MS));
      const endMs = performance.now() + random.integer(7_500, 11_000);
      while (!isOver() && performance.now() < endMs) {
        name(engine, random.pick(NAMED)[0]);
        await sleep(random.integer(2_000, 6_000));
      }
      name(engine, undefined);
    }
  }

  async function disturb(): Promise<void> {
    const random = drawFor(2);
    while (!isOver()) {
      await sleep(random.integer(1_500, 4_000));
      const engine = random.pick(all);
      const frozenMs = random.integer(300, 800);
      if (random.chance(0.3)) await engine.fail();
      else if (random.chance(0.5)) await freezeEngine(engine, frozenMs);
      else await replaceGateway(fleet);
    }
  }

  async function loseLeader(): Promise<void> {
    const random = drawFor(3);
    await sleep(lengthMs * (0.3 + 0.4 * random.number()));
    if (random.chance(0.7)) await stopLeader(fleet);
  }

  const callers = askUntil({ fleet, random: drawFor(1), isOver, tally });
  await Promise.all([callers, disturb(), loseLeader(), ...all.map(limit)]);
  const windows = all.flatMap((engine) =>
    judgeWindows(engine, history.get(engine) ?? [])
  );
  const requests = all.flatMap(listRequests);
  return {
    seed,
    windows: windows.length,
    worstShare: Math.max(0, ...windows),
    limitedRequests: requests.filter(({ namedLimit }) => namedLimit).length,
    ...tally,
    ranTwice: countRepeats(fleet.plain),
  };
}

async function replaceGateway(fleet: TestFleet): Promise<void> {
  const [oldest] = fleet.gateways.splice(0, 1);
  await Promise.all([fleet.addGateway(), oldest.gateway.stop()]);
}

// Requests in each window that lies in one run of an engine and one time of being
// limited, as a share of what may come.
function judgeWindows(
  engine: LayerEngine,
  history: readonly NamedLimit[],
): number[] {
  const requests = listRequests(engine);
  return requests.flatMap(({ atMs: fromMs, bornMs }) => {
    const toMs = fromMs + WINDOW_MS;
    const first = findFirstNamed(requests, { fromMs, bornMs });
    if (first === undefined || first + NEWS_MS > fromMs) return [];
    const allowed = sumLimits(history, { fromMs, toMs });
    if (allowed === Infinity) return [];
    const count = requests.filter((one) =>
      one.bornMs === bornMs && one.atMs >= fromMs && one.atMs < toMs
    ).length;
    return [count / (ALLOWED_FACTOR * allowed + ALLOWED_BESIDES)];
  });
}

// When the run first named the limit under which it is at a time.
function findFirstNamed(
  requests: readonly EngineArrival[],
  { fromMs, bornMs }: { readonly fromMs: number; readonly bornMs: number },
): number | undefined {
  const before = requests.filter((one) =>
    one.bornMs === bornMs && one.atMs <= fromMs
  );
  const unlimited = before.findLastIndex(({ namedLimit }) => !namedLimit);
  return before[unlimited + 1]?.atMs;
}

// Requests that the limits of a time allow, each for a moment longer than it is named.
function sumLimits(
  history: readonly NamedLimit[],
  { fromMs, toMs }: { readonly fromMs: number; readonly toMs: number },
): number {
  const stepMs = 50;
  let sum = 0;
  for (let atMs = fromMs; atMs < toMs; atMs += stepMs) {
    const named = history.filter((one, at) => {
      const endMs = history[at + 1]?.atMs ?? Infinity;
      return one.atMs <= atMs && endMs > atMs - CHANGE_MS;
    });
    const limitPerS = named.length === 0
      ? Infinity
      : Math.max(...named.map((one) => one.limitPerS));
    sum += limitPerS * stepMs / 1_000;
  }
  return sum;
}
