/**
 * The gateways of the fleet, as reported by the leader.
 *
 * @module
 */

import type { GatewayRecord, LeaderMessage } from "../fleet/index.ts";

/** The known gateways. */
export interface GatewayList {
  /** Applies a full list or a change. */
  update(message: LeaderMessage & { type: "gateways" }): void;
  /** All gateways that have a session with the leader. */
  list(): readonly GatewayRecord[];
  /** Gateways that accept callers. */
  listReady(): readonly GatewayRecord[];
}

/**
 * Creates an empty list.
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
    update({ isWhole, gateways, gone }) {
      const next = new Map(isWhole ? [] : known);
      gone.forEach((vm) => next.delete(vm));
      for (const gateway of gateways) next.set(gateway.vm, gateway);
      known = next;
      // Computed here because it is read for each stream but seldom updated.
      all = [...known.values()];
      ready = all.filter(({ isReady }) => isReady);
    },
    list: () => all,
    listReady: () => ready,
  };
}
