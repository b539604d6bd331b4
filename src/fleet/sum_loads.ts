/**
 * Adds up the work in flight of gateways.
 *
 * @module
 */

import type { EngineLoads } from "./messages.ts";

/**
 * Adds up loads by upstream.
 *
 * @param all - The loads of several gateways.
 * @returns The sums.
 * @throws Nothing.
 * @example
 * const loads = sumLoads([first, second]);
 */
export function sumLoads(all: readonly EngineLoads[]): EngineLoads {
  const sums: Record<string, { tokens: number; requests: number }> = {};
  for (const loads of all) {
    for (const [engineId, { tokens, requests }] of Object.entries(loads)) {
      const sum = sums[engineId] ??= { tokens: 0, requests: 0 };
      sum.tokens += tokens;
      sum.requests += requests;
    }
  }
  return sums;
}

/**
 * Takes one gateway's work out of a sum that it is part of.
 *
 * @param sum - The sum of all.
 * @param own - The part.
 * @returns What the others have in flight.
 * @throws Nothing.
 * @example
 * const others = subtractLoads(sumLoads(all), own);
 */
export function subtractLoads(sum: EngineLoads, own: EngineLoads): EngineLoads {
  const others: Record<string, { tokens: number; requests: number }> = {};
  for (const [engineId, all] of Object.entries(sum)) {
    const tokens = all.tokens - (own[engineId]?.tokens ?? 0);
    const requests = all.requests - (own[engineId]?.requests ?? 0);
    if (tokens + requests > 0) others[engineId] = { tokens, requests };
  }
  return others;
}
