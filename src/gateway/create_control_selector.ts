/**
 * Chooses the control process to try next in the search for the leader.
 *
 * @module
 */

import { getRetryWaitMs } from "../retry/index.ts";

/** Selects control processes for connection attempts. */
export interface ControlSelector {
  /** Next address to try besides those in `pending`; undefined if none is due. */
  findNext(pending: ReadonlySet<string>): string | undefined;
  /** Records that a control process did not accept this gateway. */
  recordFailure(address: string): void;
  /** Records the leader's address, and who named it if that is another one. */
  recordLeader(leaderAddress: string, options?: { readonly by?: string }): void;
  /** Records that the connection to the leader was lost: it is tried last. */
  recordLost(address: string): void;
  /** Whether `address` was named as the leader. */
  isNamedLeader(address: string): boolean;
  /** Number of consecutive failures of `address`. */
  countFailures(address: string): number;
  /** Clears failures and the named leader, once a leader accepted this gateway. */
  reset(): void;
}

/** Options of {@link createControlSelector}. */
export interface CreateControlSelectorOptions {
  /** All known control processes, in order of preference. */
  readonly listAddresses: () => readonly string[];
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Upper bound of the wait before the first retry. */
const FIRST_RETRY_MAX_WAIT_MS = 100;

/** Upper bound of the wait before any retry. */
const RETRY_MAX_WAIT_MS = 2_000;

/** Wait before a control process that named another as the leader is tried again. */
const REDIRECT_RETRY_WAIT_MS = 500;

/** Consecutive failed attempts at one control process. */
interface Failures {
  readonly count: number;
  /** Time, in ms, before which it is not tried again. */
  readonly retryAtMs: number;
}

const NO_FAILURES: Failures = { count: 0, retryAtMs: -Infinity };

/**
 * Creates the selector, without any failures.
 *
 * @param options - The addresses, the clock and a source of random numbers.
 * @returns The selector.
 * @throws Nothing.
 * @example
 * const address = selector.findNext(new Set());
 */
export function createControlSelector(
  options: CreateControlSelectorOptions,
): ControlSelector {
  const { now, random } = options;
  const failures = new Map<string, Failures>();
  let namedLeaderAddress = "";

  const getFailures = (address: string) => failures.get(address) ?? NO_FAILURES;

  function getPriority(address: string): number {
    return address === namedLeaderAddress ? -1 : getFailures(address).count;
  }

  return {
    findNext(pending) {
      const known = new Set(options.listAddresses());
      if (namedLeaderAddress !== "") known.add(namedLeaderAddress);
      const due = [...known].filter((address) =>
        !pending.has(address) && now() >= getFailures(address).retryAtMs
      );
      return due.sort((a, b) => getPriority(a) - getPriority(b))[0];
    },
    recordFailure(address) {
      const count = 1 + getFailures(address).count;
      const waitMs = getRetryWaitMs(count, {
        baseMs: FIRST_RETRY_MAX_WAIT_MS,
        maxMs: RETRY_MAX_WAIT_MS,
        random,
      });
      failures.set(address, { count, retryAtMs: now() + waitMs });
    },
    recordLeader(leaderAddress, { by } = {}) {
      namedLeaderAddress = leaderAddress;
      if (by === undefined) return;
      const { count, retryAtMs } = getFailures(by);
      const earliestMs = now() + REDIRECT_RETRY_WAIT_MS;
      failures.set(by, { count, retryAtMs: Math.max(retryAtMs, earliestMs) });
    },
    recordLost(address) {
      failures.set(address, { count: 1, retryAtMs: -Infinity });
    },
    isNamedLeader: (address) => address === namedLeaderAddress,
    countFailures: (address) => getFailures(address).count,
    reset() {
      failures.clear();
      namedLeaderAddress = "";
    },
  };
}
