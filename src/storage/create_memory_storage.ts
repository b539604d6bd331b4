/**
 * In-memory storage for a replica without a disk; it is lost when the process
 * ends.
 *
 * @module
 */

import { FORMAT_VERSION } from "./constants.ts";
import { makeReplicaId, type StorageIdentity } from "./identity.ts";
import type { QuorumStorage } from "./open_quorum_storage.ts";
import type { StoredSnapshot } from "./read_stored_state.ts";

/** The fleet and the VM that the storage belongs to. */
export interface CreateMemoryStorageOptions {
  readonly fleetId: string;
  readonly vm: string;
}

/**
 * Creates the storage of a replica that never votes. The replica gets a new id
 * at each start, since nothing that it acknowledges is durable.
 *
 * @param options - The fleet and the VM that the storage belongs to.
 * @returns The empty storage.
 * @throws Nothing.
 * @example
 * const storage = createMemoryStorage({ fleetId, vm });
 */
export function createMemoryStorage(
  options: CreateMemoryStorageOptions,
): QuorumStorage {
  const { fleetId, vm } = options;
  let identity: StorageIdentity = {
    formatVersion: FORMAT_VERSION,
    fleetId,
    vm,
    replicaId: makeReplicaId(vm),
    clusterId: "",
  };
  let snapshot: StoredSnapshot | undefined;
  return {
    get identity() {
      return identity;
    },
    stored: {
      hard: { term: 0, votedFor: null },
      snapshot: undefined,
      log: [],
      tornBytes: 0,
    },
    getLogBytes: () => 0,
    append: () => Promise.resolve(),
    saveSnapshot(saved) {
      snapshot = saved.snapshot;
      return Promise.resolve();
    },
    readSnapshot: () => Promise.resolve(snapshot),
    setClusterId(clusterId) {
      identity = { ...identity, clusterId };
      return Promise.resolve();
    },
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
    },
  };
}
