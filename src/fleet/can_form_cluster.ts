/**
 * Decides whether processes that were interrupted in their first start form the cluster.
 *
 * @module
 */

import type { ClusterFormation } from "../control/index.ts";
import type { FleetSeed } from "./open_fleet_storage.ts";
import { planInitialCluster } from "./plan_initial_cluster.ts";

/** Options of {@link canFormCluster}. */
export interface CanFormClusterOptions {
  /** This process, which has a data folder and no cluster. */
  readonly self: FleetSeed;
  readonly seeds: readonly FleetSeed[];
  /** Responses of the other processes, by their peer address. */
  readonly answers: ReadonlyMap<string, ClusterFormation>;
  /** Number of machines that may lose their disks. */
  readonly toleratedLosses: number;
}

/**
 * Decides whether a process without a cluster may form one with its seeds, after its
 * first start.
 *
 * An empty data folder may also mean a lost disk. But if more folders are empty than
 * machines may be lost at a time, and no other seed has seen an election, there has been
 * no leader that could have accepted anything.
 *
 * @param options - The process, its seeds and their responses.
 * @returns Whether it may form the cluster.
 * @throws Nothing.
 * @example
 * canFormCluster({ self, seeds, answers: new Map(), toleratedLosses: 1 }); // false
 */
export function canFormCluster(options: CanFormClusterOptions): boolean {
  const { self, seeds, answers, toleratedLosses } = options;
  const others = seeds
    .filter(({ callerAddress }) => callerAddress !== self.callerAddress);
  if (others.length === seeds.length) return false;
  const { clusterId } = planInitialCluster(seeds);
  let emptyCount = 1;
  for (const { peerAddress } of others) {
    const answer = answers.get(peerAddress);
    if (answer?.formableClusterId !== clusterId) return false;
    if (answer.startedEmpty) emptyCount += 1;
  }
  return emptyCount > toleratedLosses;
}
