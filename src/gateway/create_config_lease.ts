/**
 * For how long a gateway may trust the configuration that it holds.
 *
 * @module
 */

/** What the lease needs of its program. */
export interface CreateConfigLeaseOptions {
  /** Ms from an acceptance until a key that it took away must be refused. */
  readonly revokeMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** A lease on the configuration in force. */
export interface ConfigLease {
  /** The leader surely held `version` after `sentMs`. */
  confirm(confirmed: { sentMs: number; version: number; held: number }): void;
  isValid(): boolean;
  /** Whether it was confirmed since the gateway started. */
  wasEverValid(): boolean;
  /** Ms that are left of it; below 0 once it has run out. */
  getLeftMs(): number;
}

/** Ms kept back for a request on its way to an upstream. */
const MARGIN_MS = 300;

/**
 * Makes the lease, run out.
 *
 * A change that is accepted after the gateway asked can't be older than the
 * question: counted from the moment of asking, the lease ends before any key
 * that such a change took away has to be refused.
 *
 * @param options - The bound and the time.
 * @returns The lease.
 * @throws Nothing.
 * @example
 * lease.confirm({ sentMs, version, held });
 */
export function createConfigLease(
  options: CreateConfigLeaseOptions,
): ConfigLease {
  const { revokeMs, now } = options;
  let untilMs = -Infinity;
  return {
    confirm({ sentMs, version, held }) {
      // What is not yet in force here proves nothing about what is.
      if (held < version) return;
      untilMs = Math.max(untilMs, sentMs + revokeMs - MARGIN_MS);
    },
    isValid: () => now() < untilMs,
    wasEverValid: () => untilMs > -Infinity,
    getLeftMs: () => untilMs - now(),
  };
}
