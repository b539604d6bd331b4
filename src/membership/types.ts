/**
 * Membership of the entries as the control leader sees it.
 *
 * @module
 */

import type { EntryReport, PlatformState } from "../model/index.ts";

/** An entry that control knows of. */
export interface EntryMember {
  readonly vm: string;
  readonly place: string;
  readonly address: string;
  /** New at each start of the entry's process. */
  readonly incarnation: string;
  /** Leader's monotonic time, in ms, when it was last heard. */
  readonly heardMs: number;
  /** Revision that it has in force. */
  readonly revision: number;
  readonly leaving: boolean;
  readonly report: EntryReport;
  /** Whether it has many more requests in flight than the others. */
  readonly overloaded: boolean;
  /** Whether it is among those that callers are told of. */
  readonly listed: boolean;
  /** Leader's time, in ms, from which it may be listed again. */
  readonly heldBackUntilMs: number;
  /** Losses within the damping window. */
  readonly recentLosses: readonly number[];
}

/** All entries and the platform's list. */
export interface MembershipState {
  readonly entries: Readonly<Record<string, EntryMember>>;
  readonly vms: Readonly<Record<string, PlatformState>>;
  /** Time, in ms, since which a VM that should be listed is not. */
  readonly unlistedSinceMs: Readonly<Record<string, number>>;
}

/** What an entry says of itself, twice a second. */
export interface Heartbeat {
  readonly vm: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly leaving: boolean;
  readonly report: EntryReport;
}

/**
 * What moves the membership. Heartbeats are taken many at a time: each step
 * copies the table of entries once.
 */
export type MembershipEvent =
  | {
    readonly type: "hello";
    readonly vm: string;
    readonly place: string;
    readonly address: string;
    readonly incarnation: string;
    readonly revision: number;
  }
  | { readonly type: "heartbeats"; readonly heartbeats: readonly Heartbeat[] }
  | {
    readonly type: "platformList";
    readonly vms: Readonly<Record<string, PlatformState>>;
    /** VMs of all declared upstreams. */
    readonly expected: readonly string[];
  }
  | { readonly type: "tick" };

/** What a step reports. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly joined: readonly string[];
  readonly lost: readonly string[];
  readonly leaving: readonly string[];
  /** Whether what entries are told has changed. */
  readonly changed: boolean;
}

/** Times of the membership. */
export interface MembershipOptions {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Silence, in ms, after which an entry counts as dead. */
  readonly leaseMs: number;
}
