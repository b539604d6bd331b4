/**
 * The leader's view of the fleet: who is live, and what it tells entries.
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

/** What the view needs of its program. */
export interface CreateFleetViewOptions {
  /** Silence, in ms, after which an entry counts as dead. */
  readonly leaseMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  /** Called when what entries are told has changed. */
  readonly onChange: (live: LiveState) => void;
}

/** Ms between two pieces of news. */
const NEWS_INTERVAL_MS = 100;

/** The leader's view of the fleet. */
export interface FleetView {
  /** Forgets everybody: a new leader starts from what it hears itself. */
  reset(): void;
  take(event: MembershipEvent): void;
  /** Keeps a heartbeat for the next step. */
  takeHeartbeat(heartbeat: Heartbeat): void;
  getState(): MembershipState;
  getLive(): LiveState;
  /** Whether too little was heard yet to tell entries anything. */
  isQuiet(): boolean;
  /** Whether a holder `vm/incarnation/attempt` may still be running. */
  isHolderLive(holder: string): boolean;
  getPlatformState(vm: string): PlatformState;
}

/**
 * Makes the leader's view of the fleet.
 *
 * For one lease after a reset nothing is told: the entries come back one by
 * one, and a list of the first few would empty the callers' choice.
 *
 * @param options - The lease, the time, and who hears of changes.
 * @returns The view.
 * @throws Nothing.
 * @example
 * const view = createFleetView(options);
 */
export function createFleetView(options: CreateFleetViewOptions): FleetView {
  const { leaseMs, now, log, onChange } = options;
  let state = createMembershipState();
  let heard: Heartbeat[] = [];
  let quietUntilMs = 0;
  let owesNews = false;
  let toldMs = -Infinity;

  function take(event: MembershipEvent): void {
    const heartbeats = heard;
    heard = [];
    if (heartbeats.length > 0) move({ type: "heartbeats", heartbeats });
    move(event);
  }

  function move(event: MembershipEvent): void {
    const nowMs = now();
    const step = stepMembership(state, event, { nowMs, leaseMs });
    state = step.state;
    for (const vm of step.joined) log("entryJoined", { vm });
    for (const vm of step.lost) log("entryLost", { vm });
    for (const vm of step.leaving) log("entryLeaving", { vm });
    owesNews ||= step.changed;
    // News that come together go out together.
    const due = nowMs >= quietUntilMs && nowMs - toldMs >= NEWS_INTERVAL_MS;
    if (!owesNews || !due) return;
    owesNews = false;
    toldMs = nowMs;
    onChange(getLiveState(state));
  }

  return {
    reset() {
      state = createMembershipState();
      heard = [];
      quietUntilMs = now() + leaseMs;
      owesNews = true;
    },
    take,
    takeHeartbeat: (heartbeat) => void heard.push(heartbeat),
    getState: () => state,
    getLive: () => getLiveState(state),
    isQuiet: () => now() < quietUntilMs,
    isHolderLive(holder) {
      const nowMs = now();
      // Shortly after an election nobody can be called dead yet.
      if (nowMs < quietUntilMs) return true;
      const [vm, incarnation] = holder.split("/");
      const member = state.entries[vm];
      return member?.incarnation === incarnation &&
        nowMs - member.heardMs < leaseMs;
    },
    getPlatformState: (vm) => state.vms[vm] ?? "live",
  };
}
