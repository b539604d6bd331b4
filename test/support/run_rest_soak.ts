/**
 * A fleet under random troubles while engines turn requests away, ask for rest and
 * say that they leave: what reaches them all the same.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createRandomSource } from "../../proof/random_source.ts";
import type { EngineArrival, LayerEngine } from "../../standins/index.ts";
import { startServing, stopLeader } from "./fleet.ts";
import {
  askUntil,
  countRepeats,
  freezeEngine,
  listRequests,
} from "./soak_callers.ts";

/** What a soak plays. */
export interface RunRestSoakOptions {
  readonly seed: number;
  /** Ms for which callers ask. */
  readonly lengthMs: number;
}

/** What came of a soak. */
export interface RestSoakReport {
  readonly seed: number;
  /** Rests that engines asked gateways for. */
  readonly rests: number;
  /** The most requests of one gateway within one of them, half a second after it. */
  readonly worstRest: number;
  /** Leaves that gateways heard in answers. */
  readonly leaves: number;
  /** Requests that a gateway sent to an engine two seconds after it had heard. */
  readonly lateAtHearer: number;
  /** Requests of any gateway three seconds and more after one had heard. */
  readonly lateAnywhere: number;
  readonly asked: number;
  readonly served: number;
  readonly refused: number;
  /** Answers that were given as whole and are not. */
  readonly spoilt: number;
  /** Requests that must not be repeated and ran more than once. */
  readonly ranTwice: number;
}

/** Requests of one gateway within a rest that may come, by the stated aim. */
export const MOST_WITHIN_REST = 2;

/** Ms after a rest was asked for in which requests may be on their way. */
const ON_THE_WAY_MS = 500;

/** Ms that a gateway has from the answer that told of a leave. */
const DRAIN_MS = 2_000;

/** Ms that all gateways have from the first answer that told of it. */
const NEWS_MS = 3_000;

/** Actors that draw by chance. */
const ACTORS = 6;

/** Share of engines that turn requests away at a time. */
const PRESSED_SHARE = 1 / 3;

/** Lines of `Retry-After`, and the ms for which they count. */
const WISHES: readonly (readonly [readonly string[], number])[] = [
  [["1.2"], 1_200],
  [["0.7"], 700],
  [["2"], 2_000],
  [["0.4", "1"], 1_000],
  [["0"], 0],
  [["-3"], 0],
  [["soon"], 0],
];

const RESTS_MS = new Map(WISHES.map(([lines, ms]) => [lines.join(), ms]));

/**
 * Plays one seed.
 *
 * @param options - The seed and the length.
 * @returns What came of it.
 * @throws {Error} When the fleet does not begin to serve.
 * @example
 * const report = await runRestSoak({ seed: 1, lengthMs: 5_000 });
 */
export async function runRestSoak(
  { seed, lengthMs }: RunRestSoakOptions,
): Promise<RestSoakReport> {
  // Each actor draws for itself: what one does hangs on the seed, not on when others
  // come to draw.
  const drawFor = (actor: number) => createRandomSource(seed * ACTORS + actor);
  await using fleet = await startServing({ gateways: 3 });
  for (const place of ["p1", "p1", "p2", "p2"]) await fleet.addEngine(place);
  for (let at = 0; at < 3; at++) await fleet.addPlain();
  const all = [...fleet.engines, ...fleet.plain];
  const restarts = drawFor(0);
  for (const { fault } of all) {
    fault.restartsAfterMs = restarts.integer(300, 900);
  }
  const untilMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= untilMs;
  const tally = { asked: 0, served: 0, refused: 0, spoilt: 0 };
  // A third of all engines at a time can't cope, for a moment or for longer.
  async function press(): Promise<void> {
    const random = drawFor(2);
    while (!isOver()) {
      for (const { fault } of all) {
        const [lines] = random.pick(WISHES);
        fault.asksForRest = random.chance(PRESSED_SHARE) ? lines : undefined;
      }
      await sleep(random.integer(300, 1_000));
    }
  }

  // Whoever leaves goes on beating as if it stayed.
  async function leave(): Promise<void> {
    const random = drawFor(3);
    const staying = [fleet.engines.slice(4), fleet.plain.slice(2)].flat();
    for (const { fault } of staying) {
      if (isOver()) return;
      await sleep(lengthMs / staying.length * random.number());
      fault.saysLeaving = true;
    }
  }

  async function disturb(): Promise<void> {
    const random = drawFor(4);
    while (!isOver()) {
      await sleep(random.integer(800, 2_300));
      const engine = random.pick(all);
      const frozenMs = random.integer(300, 800);
      if (random.chance(0.5)) await engine.fail();
      else await freezeEngine(engine, frozenMs);
    }
  }

  async function loseLeader(): Promise<void> {
    const random = drawFor(5);
    await sleep(lengthMs * (0.3 + 0.4 * random.number()));
    if (random.chance(0.5)) await stopLeader(fleet);
  }

  const callers = askUntil({ fleet, random: drawFor(1), isOver, tally });
  await Promise.all([callers, press(), leave(), disturb(), loseLeader()]);
  return {
    seed,
    ...tally,
    ...judgeRests(all),
    ...judgeLeaves(all),
    ranTwice: countRepeats(fleet.plain),
  };
}

function isOfSameGateway(a: EngineArrival, b: EngineArrival): boolean {
  return a.requestId.split("-", 1)[0] === b.requestId.split("-", 1)[0];
}

// A rest is between one run of an engine and one gateway.
function judgeRests(
  engines: readonly LayerEngine[],
): Pick<RestSoakReport, "rests" | "worstRest"> {
  const counts = engines.flatMap((engine) => {
    const requests = listRequests(engine);
    return requests.flatMap((asked) => {
      const backOffMs = RESTS_MS.get(asked.askedForRest?.join() ?? "") ?? 0;
      if (backOffMs === 0) return [];
      const fromMs = asked.atMs + ON_THE_WAY_MS;
      return requests.filter((one) =>
        one.atMs > fromMs && one.atMs < asked.atMs + backOffMs &&
        one.bornMs === asked.bornMs && isOfSameGateway(one, asked)
      ).length;
    });
  });
  return { rests: counts.length, worstRest: Math.max(0, ...counts) };
}

function judgeLeaves(
  engines: readonly LayerEngine[],
): Pick<RestSoakReport, "leaves" | "lateAtHearer" | "lateAnywhere"> {
  const result = { leaves: 0, lateAtHearer: 0, lateAnywhere: 0 };
  for (const engine of engines) {
    const requests = listRequests(engine);
    const told = requests.filter(({ toldLeave }) => toldLeave);
    result.leaves += told.length;
    for (const one of requests) {
      const sameRun = told.filter(({ bornMs }) => bornMs === one.bornMs);
      const isLate = sameRun.some((other) =>
        one.atMs > other.atMs + DRAIN_MS && isOfSameGateway(one, other)
      );
      if (isLate) result.lateAtHearer += 1;
      if (sameRun.some(({ atMs }) => one.atMs > atMs + NEWS_MS)) {
        result.lateAnywhere += 1;
      }
    }
  }
  return result;
}
