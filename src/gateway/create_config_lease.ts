/**
 * Lease that bounds how long a gateway may use its configuration unconfirmed.
 *
 * @module
 */

/** Options of {@link createConfigLease}. */
export interface CreateConfigLeaseOptions {
  /** Ms from the acceptance of a change until a key that it removes must be refused. */
  readonly revokeMs: number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** A lease on the active configuration. */
export interface ConfigLease {
  /** Renews the lease: the leader had `version` at `sentMs` or later. */
  confirm(confirmed: { sentMs: number; version: number; held: number }): void;
  isValid(): boolean;
  /** Whether it has been confirmed since the gateway started. */
  wasEverValid(): boolean;
  /** Ms left until it expires; negative afterwards. */
  getLeftMs(): number;
}

/** Safety margin for requests that are on their way to an upstream. */
const MARGIN_MS = 300;

/**
 * Creates an expired lease.
 *
 * The lease counts from the moment the gateway sent its heartbeat. A change that the
 * answer doesn't cover was accepted after that moment, so the lease expires before a
 * key removed by such a change must be refused.
 *
 * @param options - The time bound and the clock.
 * @returns The lease.
 * @throws Nothing.
 * @example
 * lease.confirm({ sentMs, version, held });
 */
export function createConfigLease(
  options: CreateConfigLeaseOptions,
): ConfigLease {
  const { revokeMs, now } = options;
  let expiresMs = -Infinity;
  return {
    confirm({ sentMs, version, held }) {
      // A confirmation of a newer version says nothing about the active one.
      if (held < version) return;
      expiresMs = Math.max(expiresMs, sentMs + revokeMs - MARGIN_MS);
    },
    isValid: () => now() < expiresMs,
    wasEverValid: () => expiresMs > -Infinity,
    getLeftMs: () => expiresMs - now(),
  };
}
