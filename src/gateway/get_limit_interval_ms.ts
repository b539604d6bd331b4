/**
 * How fast limited upstreams of a service take requests.
 *
 * @module
 */

import type { ServingContext } from "./types.ts";

const MS_PER_S = 1_000;

/**
 * Gets the mean time between two sends that the limits of a service's upstreams allow
 * to all gateways together.
 *
 * @param context - The upstreams and their limits.
 * @param service - The service.
 * @returns Ms; Infinity where no upstream is limited, or none takes anything.
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
