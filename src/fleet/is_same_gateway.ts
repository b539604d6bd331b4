/**
 * Compares what is known of a gateway.
 *
 * @module
 */

import type { GatewayRecord } from "./messages.ts";

/**
 * Tells whether two records of a gateway say the same.
 *
 * @param a - One record.
 * @param b - The other.
 * @returns Whether they say the same.
 * @throws Nothing.
 * @example
 * const isNews = !isSameGateway(known, gateway);
 */
export function isSameGateway(a: GatewayRecord, b: GatewayRecord): boolean {
  return a.vm === b.vm && a.place === b.place && a.address === b.address &&
    a.isReady === b.isReady;
}
