/**
 * Tracks the rollout of the newest configuration, from its acceptance until it is in
 * force at all gateways.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** Dependencies of {@link createRolloutTracker}. */
export interface CreateRolloutTrackerOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "gauge" | "timing">;
}

/** Tracks the rollout of the newest configuration. */
export interface RolloutTracker {
  /** Records that a version was accepted; earlier ones are no longer tracked. */
  onAccepted(version: number): void;
  /** Records the version in force at a gateway. */
  onApplied(vm: string, version: number): void;
  /** Removes a gateway whose session has ended. */
  removeGateway(vm: string): void;
  /** Ms since the newest version was accepted. */
  getAgeMs(): number;
  /** Gateways where the newest version is not in force. */
  listLagging(): readonly string[];
}

/**
 * Creates the tracker.
 *
 * @param options - The clock, the log and the metrics.
 * @returns The tracker, without a version.
 * @throws Nothing.
 * @example
 * const rollout = createRolloutTracker({ now, log, metrics });
 */
export function createRolloutTracker(
  options: CreateRolloutTrackerOptions,
): RolloutTracker {
  const { now, log, metrics } = options;
  const appliedVersions = new Map<string, number>();
  let newest = -1;
  let acceptedMs = now();
  let isInForce = true;

  function listLagging(): string[] {
    return [...appliedVersions]
      .filter(([, version]) => version < newest)
      .map(([vm]) => vm);
  }

  function checkInForce(lastVm: string): void {
    if (isInForce || appliedVersions.size === 0) return;
    const lagging = listLagging();
    metrics.gauge("config.lagging", lagging.length);
    if (lagging.length > 0) return;
    isInForce = true;
    const tookMs = Math.round(now() - acceptedMs);
    metrics.timing("config.rollout_ms", tookMs);
    const gateways = appliedVersions.size;
    log("configInForce", { version: newest, tookMs, gateways, lastVm });
  }

  return {
    onAccepted(version) {
      newest = version;
      acceptedMs = now();
      isInForce = false;
    },
    onApplied(vm, version) {
      appliedVersions.set(vm, version);
      checkInForce(vm);
    },
    removeGateway(vm) {
      if (appliedVersions.delete(vm)) checkInForce(vm);
    },
    getAgeMs: () => now() - acceptedMs,
    listLagging,
  };
}
