/**
 * Opens the data folder of a control process, and forms the cluster on the first start.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import {
  createMemoryStorage,
  openQuorumStorage,
  type OpenQuorumStorageOptions,
  type QuorumStorage,
  replaceDamagedState,
  StorageDamageError,
} from "../storage/index.ts";
import {
  getFirstReplicaId,
  planInitialCluster,
} from "./plan_initial_cluster.ts";

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
  /** Seeds that form a new cluster together; absent if there is one already. */
  readonly formingSeeds?: readonly FleetSeed[];
  readonly log: Logger;
}

/**
 * Opens the data folder. All initial voters are given the same seeds, so that they form
 * one cluster without asking each other, and no subset of them can form another.
 *
 * A damaged folder is treated like a lost disk: nobody repairs a process that ends at
 * each start, while the other replicas hold what was acknowledged.
 *
 * @param options - The folder, the process that owns it, and the seeds.
 * @returns The storage.
 * @throws {StorageOwnerError} When the folder belongs to another process.
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
  const { formingSeeds = [] } = options;
  const isInitialVoter = formingSeeds
    .some((seed) => seed.callerAddress === callerAddress);
  const storage = await openOrReplace({
    folder: dataFolder,
    fleetId,
    vm: callerAddress,
    // Only the process that listens at the peer address opens the folder.
    isLocked: false,
    form: isInitialVoter
      ? { address: peerAddress, ...planInitialCluster(formingSeeds) }
      : undefined,
    makeReplicaId: isInitialVoter ? getFirstReplicaId : undefined,
  }, options);
  if (storage.stored.tornBytes > 0) {
    options.log("tornTailCut", { sizeBytes: storage.stored.tornBytes });
  }
  return storage;
}

async function openOrReplace(
  options: OpenQuorumStorageOptions,
  { log }: { readonly log: Logger },
): Promise<QuorumStorage> {
  try {
    return await openQuorumStorage(options);
  } catch (error) {
    if (!(error instanceof StorageDamageError)) throw error;
    const movedTo = await replaceDamagedState(options);
    log("damageReplaced", { error, movedTo });
    return await openQuorumStorage(options);
  }
}
