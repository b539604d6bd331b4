/**
 * Computes how many of a service's requests are more urgent than one of a rank.
 *
 * @module
 */

/** What the share depends on. */
export interface GetUrgentShareOptions {
  /** Number of more urgent priorities of the service. */
  readonly rank: number;
  /** Number of priorities of the service. */
  readonly rankCount: number;
  /** Gets the recent requests of a rank. */
  readonly getRecent: (rank: number) => number;
}

/**
 * Gets the share of a service's recent requests that are more urgent than a rank.
 *
 * @param options - The rank, and the recent requests of each rank.
 * @returns A share from 0 to 1; 0 for rank 0 and where there were no requests.
 * @throws Nothing.
 * @example
 * const urgentShare = getUrgentShare({ rank: 1, rankCount: 3, getRecent });
 */
export function getUrgentShare(options: GetUrgentShareOptions): number {
  const { rank, rankCount, getRecent } = options;
  if (rank === 0) return 0;
  let all = 0;
  let moreUrgent = 0;
  for (let one = 0; one < rankCount; one++) {
    const recent = getRecent(one);
    all += recent;
    if (one < rank) moreUrgent += recent;
  }
  return all > 0 ? moreUrgent / all : 0;
}
