/**
 * The live state that control hands to the entries. It is not part of the
 * accepted state: it comes from leases and the platform's list.
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
  /** Whether it has many more requests in flight than the others. */
  readonly overloaded: boolean;
}

/** What the platform's list says of a VM. */
export type PlatformState = "live" | "leaving" | "missing";

/** What entries are told of the fleet. */
export interface LiveState {
  readonly entries: readonly LiveEntry[];
  /** State of each upstream's VM; one that is not named counts as live. */
  readonly vms: Readonly<Record<string, PlatformState>>;
}

/** What has changed in the live state since it was last told. */
export interface LiveChange {
  /** Whether it stands for the whole state. */
  readonly full: boolean;
  /** Entries that are new or have changed. */
  readonly entries: readonly LiveEntry[];
  /** Entries that are gone. */
  readonly goneEntries: readonly string[];
  /** VMs whose state is new or has changed. */
  readonly vms: Readonly<Record<string, PlatformState>>;
  /** VMs that are live again. */
  readonly liveVms: readonly string[];
}

/** A version of the live state: the leader's term, then its own count. */
export interface LiveVersion {
  readonly term: number;
  readonly version: number;
}

/** An entry's report of what its client accounts ask for. */
export interface EntryReport {
  readonly inFlight: number;
  /** Requests a second wanted, by client account. */
  readonly demandPerS: Readonly<Record<string, number>>;
  /** Requests a second wanted, by pool. */
  readonly poolDemandPerS: Readonly<Record<string, number>>;
}

/** What an entry may use of a client account's limits. */
export interface AccountShare {
  readonly requestsPerS?: number;
  readonly maxInFlight?: number;
}

/** An entry's shares, by client account. */
export type AccountShares = Readonly<Record<string, AccountShare>>;

/** An entry's place on the ring of a pool's capacity; see `src/routing`. */
export interface PoolInterval {
  readonly middle: number;
  readonly part: number;
}

/** All that control grants to one entry. */
export interface EntryGrant {
  readonly accounts: AccountShares;
  /** By pool. */
  readonly intervals: Readonly<Record<string, PoolInterval>>;
}
