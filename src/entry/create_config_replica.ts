/**
 * The entry's copy of the accepted state: it only ever goes forward.
 *
 * @module
 */

import type { ResourceChange } from "../model/index.ts";
import {
  createResourceState,
  getResourceStateData,
  parseResourceStateData,
  type ResourceState,
  type ResourceStateData,
  takeChanges,
} from "../resources/index.ts";

/** A piece of configuration as control sends it. */
export interface ConfigPiece {
  readonly clusterId: string;
  readonly revision: number;
  /** Whether it replaces all that was there. */
  readonly full: boolean;
  readonly changes: readonly ResourceChange[];
}

/** What became of a piece. */
export type ConfigTaken = "applied" | "stale" | "gap" | "other_cluster";

/** The entry's copy of the accepted state. */
export interface ConfigReplica {
  getState(): ResourceState;
  getClusterId(): string;
  take(piece: ConfigPiece): ConfigTaken;
}

/** The replica as it is kept on a disk. */
export interface SavedConfig {
  readonly clusterId: string;
  readonly resources: ResourceStateData;
}

/** Options of {@link createConfigReplica}. */
export interface CreateConfigReplicaOptions {
  /** What stood on the disk, if any. */
  readonly saved?: SavedConfig;
  /** Called after each step forward. */
  readonly onChange?: (state: ResourceState) => void;
}

/**
 * Makes the entry's copy of the accepted state.
 *
 * A piece of a lower or equal revision, or of another cluster, changes
 * nothing; a piece that does not follow on what is there is a gap, and the
 * whole state has to be asked for.
 *
 * @param options - What stood on the disk, and who hears of steps.
 * @returns The copy.
 * @throws Nothing.
 * @example
 * const config = createConfigReplica();
 */
export function createConfigReplica(
  options: CreateConfigReplicaOptions = {},
): ConfigReplica {
  const { saved, onChange = () => {} } = options;
  let clusterId = saved?.clusterId ?? "";
  let state = saved
    ? parseResourceStateData(saved.resources)
    : createResourceState();

  function take(piece: ConfigPiece): ConfigTaken {
    if (clusterId !== "" && piece.clusterId !== clusterId) {
      return "other_cluster";
    }
    if (piece.revision <= state.revision && state.revision > 0) return "stale";
    const changes = piece.full
      ? piece.changes
      : piece.changes.filter((change) => change.revision > state.revision);
    const first = changes[0]?.revision ?? piece.revision;
    if (!piece.full && first !== state.revision + 1) return "gap";
    const base = piece.full ? createResourceState() : state;
    const next = takeChanges(base, changes);
    clusterId = piece.clusterId;
    // Entries answer no watches and no repeated changes: no history is kept.
    state = { ...next, revision: piece.revision, history: [] };
    onChange(state);
    return "applied";
  }

  return { getState: () => state, getClusterId: () => clusterId, take };
}

/**
 * Gets the copy as it is kept on a disk.
 *
 * @param config - The copy.
 * @returns Its plain data.
 * @throws Nothing.
 * @example
 * const text = JSON.stringify(getSavedConfig(config));
 */
export function getSavedConfig(config: ConfigReplica): SavedConfig {
  return {
    clusterId: config.getClusterId(),
    resources: getResourceStateData(config.getState()),
  };
}
