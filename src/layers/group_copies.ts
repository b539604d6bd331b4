/**
 * Divides the engines of a data centre into copies of a model.
 *
 * @module
 */

import { findTokensInFlight } from "./plan_copy.ts";
import type { LayerEngine, LayerFigures } from "./types.ts";

/** The copies that engines hold, and the engines beside them. */
export interface CopyGroups {
  /** Engines that hold one copy each, in the order of their layers. */
  readonly copies: readonly (readonly LayerEngine[])[];
  /** Engines that hold nothing, or too little of a copy to repair it. */
  readonly spares: readonly LayerEngine[];
}

/** Share of the layers of which less is no copy any more. */
const LEAST_COPY_SHARE = 0.5;

/**
 * Finds the copies that engines hold: chains of ranges that follow each other.
 * A range goes to the chain whose end is nearest before it; whichever of two
 * alike ones that is, all layers are held as often.
 *
 * @param engines - The engines of a data centre.
 * @param figures - The model's figures.
 * @returns The copies and the engines beside them.
 * @throws Nothing.
 * @example
 * const { copies, spares } = groupCopies(engines, figures);
 */
export function groupCopies(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): CopyGroups {
  const held = engines.filter((engine) => engine.range !== undefined)
    .sort((a, b) => getStart(a) - getStart(b) || getEnd(a) - getEnd(b));
  const chains: LayerEngine[][] = [];
  for (const engine of held) {
    const chain = findChain(chains, engine);
    if (chain) chain.push(engine);
    else chains.push([engine]);
  }
  const least = figures.layers * LEAST_COPY_SHARE;
  const copies = chains.filter((chain) => countLayers(chain) >= least);
  const inCopies = new Set(copies.flat());
  return { copies, spares: engines.filter((engine) => !inCopies.has(engine)) };
}

// The chain that ends nearest before the range; else, where orders were lost and
// ranges overlap, the one that it takes further with the least overlap.
function findChain(
  chains: readonly LayerEngine[][],
  engine: LayerEngine,
): LayerEngine[] | undefined {
  const start = getStart(engine);
  const ended = chains.filter((chain) => getChainEnd(chain) <= start);
  if (ended.length > 0) {
    return ended.reduce((best, chain) =>
      getChainEnd(chain) > getChainEnd(best) ? chain : best
    );
  }
  const overlapping = chains.filter((chain) =>
    getStart(chain[chain.length - 1]) < start &&
    getChainEnd(chain) < getEnd(engine)
  );
  if (overlapping.length === 0) return undefined;
  return overlapping.reduce((best, chain) =>
    getChainEnd(chain) < getChainEnd(best) ? chain : best
  );
}

/**
 * Divides engines among as many copies as run the most requests at once: more
 * copies have more first engines, whose places for requests are limited, and
 * less memory for requests.
 *
 * @param engines - Engines that hold nothing that counts.
 * @param figures - The model's figures.
 * @returns Engines for each copy; none where they can't hold one.
 * @throws Nothing.
 * @example
 * const copies = divideEngines(engines, figures);
 */
export function divideEngines(
  engines: readonly LayerEngine[],
  figures: LayerFigures,
): readonly (readonly LayerEngine[])[] {
  let best: readonly (readonly LayerEngine[])[] = [];
  let bestRequests = 0;
  for (let count = 1; count <= engines.length; count++) {
    const copies = dealEngines(engines, count);
    const requests = countRequests(copies, figures);
    if (requests === undefined) break;
    if (requests <= bestRequests) continue;
    best = copies;
    bestRequests = requests;
  }
  return best;
}

// In turns, the largest first, there and back again: all copies get alike.
function dealEngines(
  engines: readonly LayerEngine[],
  count: number,
): LayerEngine[][] {
  const sorted = [...engines].sort((a, b) =>
    b.memoryMb - a.memoryMb || (a.engineId < b.engineId ? -1 : 1)
  );
  const copies: LayerEngine[][] = Array.from({ length: count }, () => []);
  sorted.forEach((engine, at) => {
    const turn = Math.floor(at / count);
    const place = at % count;
    copies[turn % 2 === 0 ? place : count - 1 - place].push(engine);
  });
  return copies;
}

// Requests that all copies together run at once, by places and by memory.
function countRequests(
  copies: readonly (readonly LayerEngine[])[],
  figures: LayerFigures,
): number | undefined {
  let sum = 0;
  for (const copy of copies) {
    const tokens = findTokensInFlight(copy, figures);
    if (tokens === undefined) return undefined;
    const { slots, usualPromptTokens, usualAnswerTokens } = figures;
    const usual = Math.max(1, usualPromptTokens + usualAnswerTokens);
    sum += Math.min(slots, tokens / usual);
  }
  return sum;
}

function getStart(engine: LayerEngine): number {
  return engine.range?.fromLayer ?? 0;
}

function getEnd(engine: LayerEngine): number {
  return engine.range?.toLayer ?? 0;
}

function getChainEnd(chain: readonly LayerEngine[]): number {
  return getEnd(chain[chain.length - 1]);
}

function countLayers(chain: readonly LayerEngine[]): number {
  return chain.reduce((sum, one) => sum + getEnd(one) - getStart(one), 0);
}
