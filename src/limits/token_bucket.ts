/**
 * Token bucket: a rate limit that allows bursts.
 *
 * @module
 */

/** State of a bucket; a plain immutable value. */
export interface TokenBucket {
  readonly tokens: number;
  readonly updatedMs: number;
}

/** The current time, and the rate and capacity of the bucket. */
export interface TokenBucketOptions {
  readonly nowMs: number;
  readonly ratePerS: number;
  /** Capacity of the bucket, in tokens. */
  readonly burst: number;
}

/** Result of {@link takeToken}. */
export interface TakeTokenResult {
  readonly bucket: TokenBucket;
  readonly admitted: boolean;
  /** Time, in ms, until a token is available; 0 if one was taken. */
  readonly retryAfterMs: number;
}

/**
 * Creates a full bucket.
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
 * Takes a token if one is available.
 *
 * @param bucket - The bucket.
 * @param options - The time, and the rate and burst that apply now.
 * @returns The new bucket state, and whether a token was taken.
 * @throws Nothing.
 * @example
 * const { admitted } = takeToken(bucket, { nowMs: 5, ratePerS: 10, burst: 10 });
 */
export function takeToken(
  bucket: TokenBucket,
  options: TokenBucketOptions,
): TakeTokenResult {
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
