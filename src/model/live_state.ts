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
  /** Requests in flight by its last report. */
  readonly inFlight: number;
}

/** What the platform's list says of a VM. */
export type PlatformState = "live" | "leaving" | "missing";

/** What entries are told of the fleet. */
export interface LiveState {
  readonly entries: readonly LiveEntry[];
  /** State of each upstream's VM; one that is not named counts as live. */
  readonly vms: Readonly<Record<string, PlatformState>>;
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
