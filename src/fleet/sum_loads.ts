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
