/**
 * The order in which requests that wait for capacity are admitted.
 *
 * @module
 */

import { compareUrgency, type UrgentRequest } from "./compare_urgency.ts";

/** A request that waits for capacity. */
export interface WaitingRequest extends UrgentRequest {
  /** Recent admissions of its client account, see `createAdmissionTally`. */
  readonly admittedCount: number;
  /** Number of the request in the order of arrival. */
  readonly arrival: number;
}

/**
 * Compares two waiting requests: by rank, then requests that return after a refusal,
 * then those of the client account with the fewest recent admissions, then by arrival.
 *
 * @param first - A request.
 * @param second - Another request.
 * @returns Less than 0 where the first is admitted before the second.
 * @throws Nothing.
 * @example
 * waiting.sort(compareWaiting);
 */
export function compareWaiting(
  first: WaitingRequest,
  second: WaitingRequest,
): number {
  return compareUrgency(first, second) ||
    first.admittedCount - second.admittedCount ||
    first.arrival - second.arrival;
}
