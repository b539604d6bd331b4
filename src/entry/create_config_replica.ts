/**
 * The entry's replica of the accepted configuration; its revision never decreases.
 *
 * @module
 */

import type { ResourceChange } from "../model/index.ts";
import {
  applyAcceptedChanges,
  createResourceState,
  getResourceStateData,
  parseResourceStateData,
  type ResourceState,
  type ResourceStateData,
} from "../resources/index.ts";

/** A configuration update from control: a whole state or changes to it. */
export interface ConfigUpdate {
  readonly clusterId: string;
  readonly revision: number;
  /** Whether it replaces the whole state. */
  readonly full: boolean;
  readonly changes: readonly ResourceChange[];
}

/** Result of applying an update. */
export type ConfigUpdateResult = "applied" | "stale" | "gap" | "other_cluster";

/** The entry's replica of the accepted configuration. */
export interface ConfigReplica {
  getState(): ResourceState;
  getClusterId(): string;
  applyUpdate(update: ConfigUpdate): ConfigUpdateResult;
}

/** The replica as stored on disk. */
export interface SavedConfig {
  readonly clusterId: string;
  readonly resources: ResourceStateData;
}

/** Options of {@link createConfigReplica}. */
export interface CreateConfigReplicaOptions {
  /** The replica read from disk, if any. */
  readonly saved?: SavedConfig;
  /** Called after each applied update. */
  readonly onChange?: (state: ResourceState) => void;
}

/**
 * Creates the entry's replica of the accepted configuration.
 *
 * An update with a lower or equal revision, or from another cluster, is ignored. An
 * update that doesn't follow directly on the current revision is a gap: the missing
 * changes have to be requested from control.
 *
 * @param options - The replica read from disk, and a listener for changes.
 * @returns The replica.
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

  function applyUpdate(update: ConfigUpdate): ConfigUpdateResult {
    if (clusterId !== "" && update.clusterId !== clusterId) {
      return "other_cluster";
    }
    if (update.revision <= state.revision && state.revision > 0) return "stale";
    const changes = update.full
      ? update.changes
      : update.changes.filter((change) => change.revision > state.revision);
    const first = changes[0]?.revision ?? update.revision;
    if (!update.full && first !== state.revision + 1) return "gap";
    const base = update.full ? createResourceState() : state;
    const next = applyAcceptedChanges(base, changes);
    clusterId = update.clusterId;
    // Entries serve neither watches nor retried changes, so they need no history.
    state = { ...next, revision: update.revision, history: [] };
    onChange(state);
    return "applied";
  }

  return {
    getState: () => state,
    getClusterId: () => clusterId,
    applyUpdate,
  };
}

/**
 * Gets the replica in its stored form.
 *
 * @param config - The replica.
 * @returns Plain data that can be written as JSON.
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
