/**
 * Tracks the rollout of the newest configuration, from its acceptance until it is in
 * force at all gateways.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** Dependencies of {@link createRolloutWatch}. */
export interface CreateRolloutWatchOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "gauge" | "timing">;
}

/** Tracks the rollout of the newest configuration. */
export interface RolloutWatch {
  /** Records that a version was accepted; earlier ones are no longer tracked. */
  noteAccepted(version: number): void;
  /** Records the version in force at a gateway. */
  noteHeld(vm: string, version: number): void;
  /** Removes a gateway whose session has ended. */
  forget(vm: string): void;
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
 * const rollout = createRolloutWatch({ now, log, metrics });
 */
export function createRolloutWatch(
  options: CreateRolloutWatchOptions,
): RolloutWatch {
  const { now, log, metrics } = options;
  const held = new Map<string, number>();
  let newest = -1;
  let acceptedMs = now();
  let isInForce = true;

  function listLagging(): string[] {
    return [...held]
      .filter(([, version]) => version < newest)
      .map(([vm]) => vm);
  }

  function checkInForce(lastVm: string): void {
    if (isInForce || held.size === 0) return;
    const lagging = listLagging();
    metrics.gauge("config.lagging", lagging.length);
    if (lagging.length > 0) return;
    isInForce = true;
    const tookMs = Math.round(now() - acceptedMs);
    metrics.timing("config.rollout_ms", tookMs);
    const gateways = held.size;
    log("configInForce", { version: newest, tookMs, gateways, lastVm });
  }

  return {
    noteAccepted(version) {
      newest = version;
      acceptedMs = now();
      isInForce = false;
    },
    noteHeld(vm, version) {
      held.set(vm, version);
      checkInForce(vm);
    },
    forget(vm) {
      if (held.delete(vm)) checkInForce(vm);
    },
    getAgeMs: () => now() - acceptedMs,
    listLagging,
  };
}
