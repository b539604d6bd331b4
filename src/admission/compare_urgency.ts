/**
 * Orders requests by how urgent they are, whoever sent them.
 *
 * @module
 */

/** What the urgency of a request depends on. */
export interface UrgentRequest {
  /** Number of distinct priorities of the service that are more urgent. */
  readonly rank: number;
  /** Whether it returned after a refusal, no sooner than its caller was told to. */
  readonly isReturn: boolean;
}

/**
 * Compares the urgency of two requests: by rank, then requests that return after a
 * refusal before new ones.
 *
 * @param first - A request.
 * @param second - Another request.
 * @returns Less than 0 where the first is more urgent, 0 where neither is.
 * @throws Nothing.
 * @example
 * compareUrgency({ rank: 0, isReturn: false }, { rank: 1, isReturn: true }); // -1
 */
export function compareUrgency(
  first: UrgentRequest,
  second: UrgentRequest,
): number {
  return first.rank - second.rank ||
    Number(second.isReturn) - Number(first.isReturn);
}
