/**
 * Rate limits of a gateway without a leader.
 *
 * @module
 */

import {
  createRateLimits,
  type CreateRateLimitsOptions,
  type RateLimits,
} from "../../src/gateway/create_rate_limits.ts";

/** Makes rate limits; by default no upstream is limited and no leader answers. */
export function makeRateLimits(
  options: Partial<CreateRateLimitsOptions> = {},
): RateLimits {
  return createRateLimits({
    requestGrants: () => false,
    onReportDue: () => {},
    getGatewayCount: () => 1,
    now: () => 0,
    log: () => {},
    metrics: { count: () => {} },
    ...options,
  });
}
