/**
 * Engines that this gateway's probes found lost, for the report to the other gateways
 * of its data centre, and the gateway's rank among those that probe an engine.
 *
 * @module
 */

import type { GatewayRecord } from "../fleet/index.ts";
import { rankByRendezvous } from "../routing/index.ts";

/** Dependencies of the reports. */
export interface CreateLostEngineReportsOptions {
  readonly vm: string;
  readonly place: string;
  /** Gateways that serve callers. */
  readonly listReady: () => readonly GatewayRecord[];
}

/** Engines that this gateway's probes found lost. */
export interface LostEngineReports {
  add(engineId: string): void;
  /** Takes the engines found lost since the last call, for the report to the leader. */
  take(): readonly string[];
  /**
   * Rank of this gateway in the order in which the gateways of its data centre probe an
   * engine. The order differs between engines, which spreads the probes over gateways.
   */
  getProbeRank(engineId: string): number;
}

/**
 * Creates an empty list of reports.
 *
 * @param options - This gateway, and the others.
 * @returns The reports.
 * @throws Nothing.
 * @example
 * const losses = createLostEngineReports({ vm, place, listReady });
 */
export function createLostEngineReports(
  options: CreateLostEngineReportsOptions,
): LostEngineReports {
  const { vm, place, listReady } = options;
  let lost = new Set<string>();
  return {
    add: (engineId) => void lost.add(engineId),
    take() {
      const taken = [...lost];
      lost = new Set();
      return taken;
    },
    getProbeRank(engineId) {
      const samePlace = listReady().filter((gateway) =>
        gateway.place === place
      );
      const names = samePlace.map((gateway) => gateway.vm);
      return Math.max(0, rankByRendezvous(names, engineId).indexOf(vm));
    },
  };
}
