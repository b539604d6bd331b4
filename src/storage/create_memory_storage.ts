/**
 * A replica's storage where there is no disk: it ends with its process.
 *
 * @module
 */

import { FORMAT_VERSION } from "./constants.ts";
import { makeReplicaId, type StorageIdentity } from "./identity.ts";
import type { QuorumStorage } from "./open_quorum_storage.ts";
import type { StoredSnapshot } from "./read_stored.ts";

/** Whose storage it is. */
export interface CreateMemoryStorageOptions {
  readonly fleetId: string;
  readonly vm: string;
}

/**
 * Makes the storage of a replica that never votes, with an identity of its own
 * at each start: nothing that it confirms may be counted on.
 *
 * @param options - Whose storage it is.
 * @returns The storage, empty.
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
