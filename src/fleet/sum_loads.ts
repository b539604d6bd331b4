/**
 * Adds up the load that gateways have in flight.
 *
 * @module
 */

import type { EngineLoads } from "./messages.ts";

/**
 * Adds up loads per upstream.
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
 * Subtracts one gateway's load from a sum that includes it.
 *
 * @param sum - The load of all gateways.
 * @param own - The gateway's own load.
 * @returns The load of the other gateways.
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
