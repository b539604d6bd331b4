/**
 * The leader's view of the fleet: which entries and VMs are live, and the live
 * state that is published to entries.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import {
  createMembershipState,
  getLiveState,
  type Heartbeat,
  type MembershipEvent,
  type MembershipState,
  stepMembership,
} from "../membership/index.ts";
import type { LiveState, PlatformState } from "../model/index.ts";

/** Options of {@link createFleetView}. */
export interface CreateFleetViewOptions {
  /** Time without a heartbeat, in ms, after which an entry counts as dead. */
  readonly leaseMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  /** Called with the live state to publish after it has changed. */
  readonly onChange: (live: LiveState) => void;
}

/** Minimum time between two published live states, in ms. */
const PUBLISH_INTERVAL_MS = 100;

/** The leader's view of the fleet. */
export interface FleetView {
  /**
   * Clears the membership. A new leader rebuilds it from the heartbeats that it
   * receives itself.
   */
  reset(): void;
  handleEvent(event: MembershipEvent): void;
  /** Queues a heartbeat, which is applied together with the next event. */
  queueHeartbeat(heartbeat: Heartbeat): void;
  getState(): MembershipState;
  getLive(): LiveState;
  /** Whether the warm-up after a reset is still running. */
  isWarmingUp(): boolean;
  /** Whether the claim holder `vm/incarnation/attempt` may still be running. */
  isHolderLive(holder: string): boolean;
  getPlatformState(vm: string): PlatformState;
}

/**
 * Creates the leader's view of the fleet.
 *
 * Nothing is published during the warm-up, which lasts one lease after a reset:
 * entries reconnect one by one, and a list of only the first few would leave
 * callers with almost no entries to choose from.
 *
 * @param options - The lease, the clock, and a callback for changes.
 * @returns The view.
 * @throws Nothing.
 * @example
 * const view = createFleetView(options);
 */
export function createFleetView(options: CreateFleetViewOptions): FleetView {
  const { leaseMs, now, log, onChange } = options;
  let state = createMembershipState();
  let queuedHeartbeats: Heartbeat[] = [];
  let warmUpEndMs = 0;
  let hasUnpublishedChange = false;
  let lastPublishedMs = -Infinity;

  function handleEvent(event: MembershipEvent): void {
    const heartbeats = queuedHeartbeats;
    queuedHeartbeats = [];
    if (heartbeats.length > 0) applyEvent({ type: "heartbeats", heartbeats });
    applyEvent(event);
  }

  function applyEvent(event: MembershipEvent): void {
    const nowMs = now();
    const step = stepMembership(state, event, { nowMs, leaseMs });
    state = step.state;
    for (const vm of step.joined) log("entryJoined", { vm });
    for (const vm of step.lost) log("entryLost", { vm });
    for (const vm of step.leaving) log("entryLeaving", { vm });
    hasUnpublishedChange ||= step.changed;
    // Changes within the publish interval are published together.
    const isDue = nowMs >= warmUpEndMs &&
      nowMs - lastPublishedMs >= PUBLISH_INTERVAL_MS;
    if (!hasUnpublishedChange || !isDue) return;
    hasUnpublishedChange = false;
    lastPublishedMs = nowMs;
    onChange(getLiveState(state));
  }

  return {
    reset() {
      state = createMembershipState();
      queuedHeartbeats = [];
      warmUpEndMs = now() + leaseMs;
      hasUnpublishedChange = true;
    },
    handleEvent,
    queueHeartbeat: (heartbeat) => void queuedHeartbeats.push(heartbeat),
    getState: () => state,
    getLive: () => getLiveState(state),
    isWarmingUp: () => now() < warmUpEndMs,
    isHolderLive(holder) {
      const nowMs = now();
      // During the warm-up after an election, an entry that has not reported yet
      // can't be declared dead.
      if (nowMs < warmUpEndMs) return true;
      const [vm, incarnation] = holder.split("/");
      const member = state.entries[vm];
      return member?.incarnation === incarnation &&
        nowMs - member.heardMs < leaseMs;
    },
    getPlatformState: (vm) => state.vms[vm] ?? "live",
  };
}
