/**
 * Opens the data folder of a control process, and forms the cluster on the first start.
 *
 * @module
 */

import { createHash } from "node:crypto";
import type { Logger } from "../logs/index.ts";
import type { Member } from "../quorum/index.ts";
import {
  createMemoryStorage,
  openQuorumStorage,
  type QuorumStorage,
} from "../storage/index.ts";

/** A control process as it is listed in the settings. */
export interface FleetSeed {
  /** Address for upstreams and operators; also its name in the quorum. */
  readonly callerAddress: string;
  /** Address for the other processes of the system. */
  readonly peerAddress: string;
}

/** Options of {@link openFleetStorage}. */
export interface OpenFleetStorageOptions extends FleetSeed {
  readonly fleetId: string;
  /** Absent if there is no disk. */
  readonly dataFolder?: string;
  /** Whether all seeds form a new cluster together. */
  readonly isFirstStart: boolean;
  readonly seeds: readonly FleetSeed[];
  readonly log: Logger;
}

/**
 * Opens the data folder. All initial voters are given the same seeds, so that they form
 * one cluster without asking each other, and no subset of them can form another.
 *
 * @param options - The folder, the process that owns it, and the seeds.
 * @returns The storage.
 * @throws {StorageOwnerError | StorageDamageError} When the folder is refused.
 * @example
 * await using storage = await openFleetStorage(options);
 */
export async function openFleetStorage(
  options: OpenFleetStorageOptions,
): Promise<QuorumStorage> {
  const { fleetId, callerAddress, peerAddress, dataFolder } = options;
  if (dataFolder === undefined) {
    return createMemoryStorage({ fleetId, vm: callerAddress });
  }
  const seeds = [...options.seeds]
    .sort((a, b) => a.callerAddress < b.callerAddress ? -1 : 1);
  const isInitialVoter = options.isFirstStart &&
    seeds.some((seed) => seed.callerAddress === callerAddress);
  const names = seeds.map((seed) => seed.callerAddress).join(" ");
  const clusterId = createHash("sha256").update(names).digest("hex")
    .slice(0, 16);
  const storage = await openQuorumStorage({
    folder: dataFolder,
    fleetId,
    vm: callerAddress,
    // No lock is needed: the platform starts only one process per folder.
    isLocked: false,
    form: isInitialVoter
      ? { address: peerAddress, clusterId, members: listInitialVoters(seeds) }
      : undefined,
    makeReplicaId: isInitialVoter ? getFirstReplicaId : undefined,
  });
  if (storage.stored.tornBytes > 0) {
    options.log("tornTailCut", { sizeBytes: storage.stored.tornBytes });
  }
  return storage;
}

function listInitialVoters(seeds: readonly FleetSeed[]): Member[] {
  return seeds.map((seed) => ({
    id: getFirstReplicaId(seed.callerAddress),
    vm: seed.callerAddress,
    address: seed.peerAddress,
    role: "voter",
  }));
}

function getFirstReplicaId(callerAddress: string): string {
  return `${callerAddress}.first`;
}
