/**
 * Removes upstreams from the registry, among them those whose heartbeats stopped.
 *
 * @module
 */

import type { RegistryState } from "./types.ts";

/** Options of {@link removeUnresponsive}. */
export interface RemoveUnresponsiveOptions {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Ms without a heartbeat after which an upstream counts as failed. */
  readonly heartbeatTimeoutMs: number;
}

/**
 * Removes the upstreams that have sent no heartbeat for too long.
 *
 * @param state - The registry.
 * @param options - The time and the timeout.
 * @returns The registry without them, and their ids.
 * @throws Nothing.
 * @example
 * const { state, lost } = removeUnresponsive(registry, {
 *   nowMs,
 *   heartbeatTimeoutMs: 3_000,
 * });
 */
export function removeUnresponsive(
  state: RegistryState,
  options: RemoveUnresponsiveOptions,
): { readonly state: RegistryState; readonly lost: readonly string[] } {
  const { nowMs, heartbeatTimeoutMs: timeoutMs } = options;
  const lost = [...state.engines]
    .filter(([, engine]) => nowMs - engine.lastHeartbeatMs > timeoutMs)
    .map(([id]) => id);
  if (lost.length === 0) return { state, lost };
  return { state: removeEngines(state, lost), lost };
}

/**
 * Removes upstreams by id.
 *
 * @param state - The registry.
 * @param ids - The upstreams to remove.
 * @returns The registry without them.
 * @throws Nothing.
 * @example
 * const next = removeEngines(registry, ["engine-1"]);
 */
export function removeEngines(
  state: RegistryState,
  ids: readonly string[],
): RegistryState {
  const engines = new Map(state.engines);
  for (const id of ids) engines.delete(id);
  return { ...state, engines };
}
