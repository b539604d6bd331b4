/**
 * What this gateway's questions found lost, for the others of its data centre, and
 * its place among those that ask.
 *
 * @module
 */

import type { GatewayRecord } from "../fleet/index.ts";
import { rankByRendezvous } from "../routing/index.ts";

/** What the news needs. */
export interface CreateLossNewsOptions {
  readonly vm: string;
  readonly place: string;
  /** Gateways that take callers. */
  readonly listReady: () => readonly GatewayRecord[];
}

/** What this gateway's questions found lost. */
export interface LossNews {
  note(engineId: string): void;
  /** Engines found lost since the last call; the leader is told so. */
  take(): readonly string[];
  /**
   * This gateway's place in the order in which those of its data centre ask after
   * an engine: each engine has an order of its own.
   */
  getAskerRank(engineId: string): number;
}

/**
 * Makes the news, empty.
 *
 * @param options - This gateway, and who else there is.
 * @returns The news.
 * @throws Nothing.
 * @example
 * const losses = createLossNews({ vm, place, listReady });
 */
export function createLossNews(options: CreateLossNewsOptions): LossNews {
  const { vm, place, listReady } = options;
  let lost = new Set<string>();
  return {
    note: (engineId) => void lost.add(engineId),
    take() {
      const taken = [...lost];
      lost = new Set();
      return taken;
    },
    getAskerRank(engineId) {
      const near = listReady().filter((gateway) => gateway.place === place);
      const names = near.map((gateway) => gateway.vm);
      return Math.max(0, rankByRendezvous(names, engineId).indexOf(vm));
    },
  };
}
