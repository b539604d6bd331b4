/**
 * What other gateways are expected to have begun and ended since the leader told
 * of their work.
 *
 * All gateways go by the same figures, half a second old on average, and by the
 * same rule. Where each goes to the engine that has the least by those figures,
 * all go there until the next ones come. So each first plays through what the
 * others do by the same rule: M. Dahlin, "Interpreting stale load information",
 * IEEE TPDS 11(10), 2000. With 200 gateways before 216 engines, engines refuse
 * 0.34 times a stream at 300 streams a second and 0.68 at 380 where gateways go by
 * what was told, and 0.00 at both where they don't; of all streams 0.020 and 0.055
 * never begin, and then none (`npm run measure -- choice`).
 *
 * @module
 */

import type { EngineLoads } from "../fleet/index.ts";
import type { PathPart } from "../layers/index.ts";

/** Work that others are expected to have, beside what was told. */
export interface ExpectedWork {
  /** Share of the told work that has ended since. */
  readonly endedShare: number;
  /** Work that has begun since. */
  readonly begun: EngineLoads;
}

/** What the expectation goes by. */
export interface ExpectOthersOptions {
  /** Requests that others have begun since they were last counted. */
  readonly begunRequests: number;
  /** Share of the requests counted then that have ended since. */
  readonly endedShare: number;
  /** Tokens that a request usually takes. */
  readonly usualTokens: number;
  /** Where another gateway's request goes, with what others have then. */
  readonly choose: (expected: ExpectedWork) => readonly PathPart[] | undefined;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/**
 * Choices that are played through at most: each stands for a part of the others'
 * requests and costs a search for a path. In trials of 300 streams a second,
 * engines refused 38 of 2,400 streams with three of them and none with six.
 */
const MAX_CHOICES = 4;

/**
 * Plays through where the others' requests have gone. How many of them went
 * before is drawn at random, so that gateways spread as the requests really do.
 *
 * @param options - How many requests there are, and how they choose.
 * @returns The work to reckon with.
 * @throws Nothing.
 * @example
 * const expected = expectOthers(options);
 */
export function expectOthers(options: ExpectOthersOptions): ExpectedWork {
  const { begunRequests, endedShare, usualTokens, choose, random } = options;
  const before = random() * begunRequests;
  const share = before / begunRequests;
  const choices = Math.min(
    Math.ceil(before),
    Math.max(1, Math.round(MAX_CHOICES * share)),
  );
  const begun: Record<string, { tokens: number; requests: number }> = {};
  for (let choice = 0; choice < choices; choice++) {
    const path = choose({ endedShare, begun });
    if (!path) break;
    const requests = before / choices;
    for (const { engineId } of path) {
      const work = begun[engineId] ??= { tokens: 0, requests: 0 };
      work.tokens += requests * usualTokens;
    }
    begun[path[0].engineId].requests += requests;
  }
  return { endedShare, begun };
}
