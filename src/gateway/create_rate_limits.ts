/**
 * The rate limits that upstreams name in their answers.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** The rate limits that upstreams name, by their runs. */
export interface RateLimits {
  /** Takes what one names; Infinity where it names no limit. */
  take(engineId: string, limitPerS: number): void;
  /** Requests a second that one takes from all gateways; Infinity if unlimited. */
  getLimitPerS(engineId: string): number;
  /** Upstreams that are limited. */
  countLimited(): number;
}

/** What the limits need of their program. */
export interface CreateRateLimitsOptions {
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count">;
}

/**
 * Makes the limits; no upstream is limited at first.
 *
 * @param options - Logs and metrics.
 * @returns The limits.
 * @throws Nothing.
 * @example
 * const limits = createRateLimits({ log, metrics });
 */
export function createRateLimits(options: CreateRateLimitsOptions): RateLimits {
  const { log, metrics } = options;
  const limits = new Map<string, number>();
  const getLimitPerS = (engineId: string) => limits.get(engineId) ?? Infinity;

  return {
    take(engineId, limitPerS) {
      if (limitPerS === getLimitPerS(engineId)) return;
      if (limitPerS === Infinity) {
        limits.delete(engineId);
        return log("engineNamesNoLimit", { engineId });
      }
      limits.set(engineId, limitPerS);
      metrics.count("engines.limits_named");
      log("engineNamesLimit", { engineId, limitPerS });
    },
    getLimitPerS,
    countLimited: () => limits.size,
  };
}
