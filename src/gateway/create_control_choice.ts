/**
 * Which control process a gateway that looks for the leader asks next.
 *
 * @module
 */

import { getRetryWaitMs } from "../retry/index.ts";

/** Chooses control processes. */
export interface ControlChoice {
  /** The next to ask beside those that are being asked; undefined if none is due. */
  findNext(asked: ReadonlySet<string>): string | undefined;
  /** Takes note that one did not take this gateway in. */
  noteFailure(address: string): void;
  /** Takes note of who leads, and who named it if that is another one. */
  noteNamed(leaderAddress: string, options?: { readonly by?: string }): void;
  /** Takes note that the leader was lost: it is asked last. */
  noteLost(address: string): void;
  /** Whether one was named as the leader. */
  isNamed(address: string): boolean;
  /** Failures of one in a row. */
  countFailures(address: string): number;
  /** Forgets who failed and who was named: a leader took this gateway in. */
  reset(): void;
}

/** Options of {@link createControlChoice}. */
export interface CreateControlChoiceOptions {
  /** All control processes that are known, those to ask first before the others. */
  readonly listAddresses: () => readonly string[];
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Longest wait, in ms, before a control process is asked a second time. */
const FIRST_RETRY_MS = 100;

/** Longest wait, in ms, before a control process is asked again. */
const MAX_RETRY_MS = 2_000;

/** Ms before a control process that named another as the leader is asked again. */
const NAMED_RETRY_MS = 500;

/** Tries of one control process that came to nothing, one after the other. */
interface Failures {
  readonly count: number;
  /** Time, in ms, before which it is not asked again. */
  readonly retryMs: number;
}

const NO_FAILURES: Failures = { count: 0, retryMs: -Infinity };

/**
 * Makes the choice; nobody has failed yet.
 *
 * @param options - Whom to choose from, the time, random numbers.
 * @returns The choice.
 * @throws Nothing.
 * @example
 * const address = choice.findNext(new Set());
 */
export function createControlChoice(
  options: CreateControlChoiceOptions,
): ControlChoice {
  const { now, random } = options;
  const failures = new Map<string, Failures>();
  let namedAddress = "";

  const getFailures = (address: string) => failures.get(address) ?? NO_FAILURES;

  function getRank(address: string): number {
    return address === namedAddress ? -1 : getFailures(address).count;
  }

  return {
    findNext(asked) {
      const known = new Set(options.listAddresses());
      if (namedAddress !== "") known.add(namedAddress);
      const due = [...known].filter((address) =>
        !asked.has(address) && now() >= getFailures(address).retryMs
      );
      return due.sort((a, b) => getRank(a) - getRank(b))[0];
    },
    noteFailure(address) {
      const count = 1 + getFailures(address).count;
      const waitMs = getRetryWaitMs(count, {
        firstMs: FIRST_RETRY_MS,
        maxMs: MAX_RETRY_MS,
        random,
      });
      failures.set(address, { count, retryMs: now() + waitMs });
    },
    noteNamed(leaderAddress, { by } = {}) {
      namedAddress = leaderAddress;
      if (by === undefined) return;
      const { count, retryMs } = getFailures(by);
      const leastMs = now() + NAMED_RETRY_MS;
      failures.set(by, { count, retryMs: Math.max(retryMs, leastMs) });
    },
    noteLost(address) {
      failures.set(address, { count: 1, retryMs: -Infinity });
    },
    isNamed: (address) => address === namedAddress,
    countFailures: (address) => getFailures(address).count,
    reset() {
      failures.clear();
      namedAddress = "";
    },
  };
}
