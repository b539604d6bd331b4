/**
 * Computes how fast the rate-limited upstreams of a service accept requests.
 *
 * @module
 */

import type { ServingContext } from "./types.ts";

const MS_PER_S = 1_000;

/**
 * Gets the mean time between two sends of all gateways together that the rate limits
 * of a service's upstreams allow.
 *
 * @param context - The upstreams and their limits.
 * @param service - The service.
 * @returns Ms; Infinity if no upstream is limited, or all limits are 0.
 * @throws Nothing.
 * @example
 * const intervalMs = getLimitIntervalMs({ engines, rateLimits }, "drafting");
 */
export function getLimitIntervalMs(
  { engines, rateLimits }: Pick<ServingContext, "engines" | "rateLimits">,
  service: string,
): number {
  const ratePerS = engines.listUsable(service)
    .map(({ record }) => rateLimits.getLimitPerS(record.engineId))
    .filter((limitPerS) => limitPerS < Infinity)
    .reduce((sum, limitPerS) => sum + limitPerS, 0);
  return MS_PER_S / ratePerS;
}
