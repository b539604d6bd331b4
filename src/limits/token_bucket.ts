/**
 * A token bucket: a rate with a burst.
 *
 * @module
 */

/** A bucket's filling; plain and immutable. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedMs: number;
}

/** A bucket's rate and size at the time. */
export interface TokenBucketOptions {
  readonly nowMs: number;
  readonly ratePerS: number;
  /** Most tokens that it holds. */
  readonly burst: number;
}

/** What became of a request for a token. */
export interface TakenToken {
  readonly bucket: TokenBucket;
  readonly admitted: boolean;
  /** Time, in ms, after which a token will be there; 0 where one was. */
  readonly retryAfterMs: number;
}

/**
 * Makes a full bucket.
 *
 * @param options - The time, the rate and the burst.
 * @returns The bucket.
 * @throws Nothing.
 * @example
 * const bucket = createTokenBucket({ nowMs: 0, ratePerS: 10, burst: 10 });
 */
export function createTokenBucket(options: TokenBucketOptions): TokenBucket {
  return { tokens: options.burst, updatedMs: options.nowMs };
}

/**
 * Takes a token, if there is one.
 *
 * @param bucket - The bucket.
 * @param options - The time, the rate and the burst now in force.
 * @returns The bucket after it, and whether a token was there.
 * @throws Nothing.
 * @example
 * const { admitted } = takeToken(bucket, { nowMs: 5, ratePerS: 10, burst: 10 });
 */
export function takeToken(
  bucket: TokenBucket,
  options: TokenBucketOptions,
): TakenToken {
  const { nowMs, ratePerS, burst } = options;
  const elapsedS = Math.max(0, nowMs - bucket.updatedMs) / 1_000;
  const tokens = Math.min(burst, bucket.tokens + elapsedS * ratePerS);
  if (tokens < 1) {
    const retryAfterMs = ((1 - tokens) / ratePerS) * 1_000;
    return {
      bucket: { tokens, updatedMs: nowMs },
      admitted: false,
      retryAfterMs,
    };
  }
  return {
    bucket: { tokens: tokens - 1, updatedMs: nowMs },
    admitted: true,
    retryAfterMs: 0,
  };
}
