/**
 * The gateways of the fleet, as the leader tells them.
 *
 * @module
 */

import type { GatewayRecord, LeaderMessage } from "../fleet/index.ts";

/** The gateways that are known. */
export interface GatewayList {
  take(message: LeaderMessage & { type: "gateways" }): void;
  /** All that have a session with the leader. */
  list(): readonly GatewayRecord[];
  /** Those that take callers. */
  listReady(): readonly GatewayRecord[];
}

/**
 * Makes the list, empty.
 *
 * @returns The list.
 * @throws Nothing.
 * @example
 * const gateways = createGatewayList();
 */
export function createGatewayList(): GatewayList {
  let known = new Map<string, GatewayRecord>();
  let all: readonly GatewayRecord[] = [];
  let ready: readonly GatewayRecord[] = [];
  return {
    take({ isWhole, gateways, gone }) {
      const next = new Map(isWhole ? [] : known);
      gone.forEach((vm) => next.delete(vm));
      for (const gateway of gateways) next.set(gateway.vm, gateway);
      known = next;
      // Asked for with each stream, told seldom.
      all = [...known.values()];
      ready = all.filter(({ isReady }) => isReady);
    },
    list: () => all,
    listReady: () => ready,
  };
}
