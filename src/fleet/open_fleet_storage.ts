/**
 * Opens the data folder of a control process, and forms the cluster where all
 * begin.
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

/** A control process as the settings name it. */
export interface FleetSeed {
  /** Where upstreams and operators reach it; names it in the quorum. */
  readonly callerAddress: string;
  /** Where the other processes of the system reach it. */
  readonly peerAddress: string;
}

/** Whose folder it is, and who begins with it. */
export interface OpenFleetStorageOptions extends FleetSeed {
  readonly fleetId: string;
  /** Absent where there is no disk. */
  readonly dataFolder?: string;
  /** Whether the cluster is formed now, by all seeds together. */
  readonly isFirstStart: boolean;
  readonly seeds: readonly FleetSeed[];
  readonly log: Logger;
}

/**
 * Opens the data folder. All first voters are given the same seeds, so that
 * they form one cluster without asking each other, and no half of them can form
 * another.
 *
 * @param options - Whose folder it is, and the seeds.
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
  const isFirstVoter = options.isFirstStart &&
    seeds.some((seed) => seed.callerAddress === callerAddress);
  const names = seeds.map((seed) => seed.callerAddress).join(" ");
  const clusterId = createHash("sha256").update(names).digest("hex")
    .slice(0, 16);
  const storage = await openQuorumStorage({
    folder: dataFolder,
    fleetId,
    vm: callerAddress,
    // The platform starts one process on a folder.
    isLocked: false,
    form: isFirstVoter
      ? { address: peerAddress, clusterId, members: listFirstVoters(seeds) }
      : undefined,
    makeReplicaId: isFirstVoter ? getFirstReplicaId : undefined,
  });
  if (storage.stored.tornBytes > 0) {
    options.log("tornTailCut", { sizeBytes: storage.stored.tornBytes });
  }
  return storage;
}

function listFirstVoters(seeds: readonly FleetSeed[]): Member[] {
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
