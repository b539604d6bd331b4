/**
 * Compares records of a gateway.
 *
 * @module
 */

import type { GatewayRecord } from "./messages.ts";

/**
 * Checks whether two records of a gateway are equal.
 *
 * @param a - One record.
 * @param b - The other.
 * @returns Whether they are equal.
 * @throws Nothing.
 * @example
 * const isChanged = !isSameGateway(known, gateway);
 */
export function isSameGateway(a: GatewayRecord, b: GatewayRecord): boolean {
  return a.vm === b.vm && a.place === b.place && a.address === b.address &&
    a.isReady === b.isReady &&
    formatServices(a) === formatServices(b);
}

function formatServices({ cutOffServices = [] }: GatewayRecord): string {
  return JSON.stringify([...cutOffServices].sort());
}
