/**
 * Types of the control leader's view of the entries.
 *
 * @module
 */

import type { EntryReport, PlatformState } from "../model/index.ts";

/** An entry that has registered with the control leader. */
export interface EntryMember {
  readonly vm: string;
  readonly place: string;
  readonly address: string;
  /** Id of the entry's process; new at each start. */
  readonly incarnation: string;
  /** Leader's monotonic time, in ms, of its last hello or heartbeat. */
  readonly heardMs: number;
  /** Revision of the configuration that it has applied. */
  readonly revision: number;
  readonly leaving: boolean;
  readonly report: EntryReport;
  /** Whether it has many more requests in flight than the others. */
  readonly overloaded: boolean;
  /** Whether it is published to callers as live. */
  readonly listed: boolean;
  /** Leader's monotonic time, in ms, until which it is not listed again. */
  readonly heldBackUntilMs: number;
  /** Leader's times, in ms, of its losses within the flap window. */
  readonly recentLosses: readonly number[];
}

/** All entries, and the VM states from the platform's list. */
export interface MembershipState {
  readonly entries: Readonly<Record<string, EntryMember>>;
  readonly vms: Readonly<Record<string, PlatformState>>;
  /** Time, in ms, since when an expected VM has been absent from the list. */
  readonly unlistedSinceMs: Readonly<Record<string, number>>;
}

/** Heartbeat of an entry, sent twice per second. */
export interface Heartbeat {
  readonly vm: string;
  readonly incarnation: string;
  readonly revision: number;
  readonly leaving: boolean;
  readonly report: EntryReport;
}

/**
 * Input of a membership step. Heartbeats are batched, since each step copies
 * the table of entries.
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

/** Result of a membership step. */
export interface MembershipStep {
  readonly state: MembershipState;
  readonly joined: readonly string[];
  readonly lost: readonly string[];
  readonly leaving: readonly string[];
  /** Whether the published live state has changed. */
  readonly changed: boolean;
}

/** Current time and lease of a membership step. */
export interface MembershipOptions {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** Time, in ms, without a heartbeat after which an entry counts as lost. */
  readonly leaseMs: number;
}
