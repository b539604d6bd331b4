/**
 * Plans the cluster that the first control processes form.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Member } from "../quorum/index.ts";
import type { FleetSeed } from "./open_fleet_storage.ts";

/** A cluster before its first election. */
export interface InitialCluster {
  readonly clusterId: string;
  /** All seeds, as voters. */
  readonly members: readonly Member[];
}

/**
 * Plans the cluster of the given seeds. Processes with the same seeds, in any order,
 * plan the same one without asking each other, and no subset of them plans another.
 *
 * @param seeds - All initial voters.
 * @returns The cluster.
 * @throws Nothing.
 * @example
 * const { clusterId, members } = planInitialCluster(seeds);
 */
export function planInitialCluster(
  seeds: readonly FleetSeed[],
): InitialCluster {
  const sorted = [...seeds]
    .sort((a, b) => a.callerAddress < b.callerAddress ? -1 : 1);
  const names = sorted.map((seed) => seed.callerAddress).join(" ");
  return {
    clusterId: createHash("sha256").update(names).digest("hex").slice(0, 16),
    members: sorted.map(({ callerAddress, peerAddress }) => ({
      id: getFirstReplicaId(callerAddress),
      vm: callerAddress,
      address: peerAddress,
      role: "voter",
    })),
  };
}

/**
 * Returns the id under which a process forms a cluster with its seeds.
 *
 * @param callerAddress - The name of the process in the quorum.
 * @returns The replica's id.
 * @throws Nothing.
 * @example
 * getFirstReplicaId("10.0.0.1:8229"); // "10.0.0.1:8229.first"
 */
export function getFirstReplicaId(callerAddress: string): string {
  return `${callerAddress}.first`;
}
