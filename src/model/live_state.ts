/**
 * The live state that control sends to the entries. It is not part of the
 * accepted state: it is derived from leases and the platform's list of VMs.
 *
 * @module
 */

/** One entry that callers may use. */
export interface LiveEntry {
  readonly vm: string;
  readonly place: string;
  readonly address: string;
  /** Set by the entry itself at a planned stop. */
  readonly leaving: boolean;
  /** Whether it has far more requests in flight than the other entries. */
  readonly overloaded: boolean;
}

/** State of a VM according to the platform's list. */
export type PlatformState = "live" | "leaving" | "missing";

/** State of the fleet that control sends to the entries. */
export interface LiveState {
  readonly entries: readonly LiveEntry[];
  /** State of each upstream's VM; a VM that is not listed is live. */
  readonly vms: Readonly<Record<string, PlatformState>>;
}

/** Difference to the live state that was sent last. */
export interface LiveChange {
  /** Whether it holds the complete state and replaces the previous one. */
  readonly full: boolean;
  /** Added or changed entries. */
  readonly entries: readonly LiveEntry[];
  /** VMs of removed entries. */
  readonly goneEntries: readonly string[];
  /** VMs whose state was added or changed. */
  readonly vms: Readonly<Record<string, PlatformState>>;
  /** VMs that are live again. */
  readonly liveVms: readonly string[];
}

/** A version of the live state: the leader's term, then a counter within the term. */
export interface LiveVersion {
  readonly term: number;
  readonly version: number;
}

/** An entry's report of its load and of the demand of its client accounts. */
export interface EntryReport {
  readonly inFlight: number;
  /** Demand in requests per second, by client account. */
  readonly demandPerS: Readonly<Record<string, number>>;
  /** Demand in requests per second, by pool. */
  readonly poolDemandPerS: Readonly<Record<string, number>>;
}

/** An entry's share of a client account's limits. */
export interface AccountShare {
  readonly requestsPerS?: number;
  readonly maxInFlight?: number;
}

/** An entry's shares, by client account. */
export type AccountShares = Readonly<Record<string, AccountShare>>;

/** An entry's interval on the ring of a pool's capacity; see `src/routing`. */
export interface PoolInterval {
  readonly middle: number;
  readonly part: number;
}

/** All that control grants to one entry. */
export interface EntryGrant {
  readonly accounts: AccountShares;
  /** Intervals by pool. */
  readonly intervals: Readonly<Record<string, PoolInterval>>;
}
