/**
 * How far a new stream may fill engines, by the rank of its call.
 *
 * @module
 */

import { getAdmissionShare, getUrgentShare } from "../admission/index.ts";
import type { Call, ServingContext } from "./types.ts";

/** The admission of one call by its rank. */
export interface RankAdmission {
  /** Whether the call competes as one of rank 0 although it is less urgent. */
  readonly isExempt: boolean;
  /**
   * Share of an engine's memory and slots up to which the call may fill it now. It is
   * reduced only while more urgent calls find no capacity.
   */
  readonly maxShare: number;
  /** Records that no engine had free capacity within the share. */
  noteFull(): void;
}

/**
 * Part of the less urgent calls that are exempt from the limit of their rank, so that
 * a tenth of each rank is served also while more urgent ones take all capacity; some of
 * the exempt calls find none either.
 */
const EXEMPT_SHARE = 0.125;

/**
 * Counts a new stream, and decides, once for all attempts to place a call, how far it may fill engines. A call
 * of a service without ranks has rank 0.
 *
 * @param call - The service and the rank of the call.
 * @param context - The recent ranks, the source of randomness and the metrics.
 * @returns The admission.
 * @throws Nothing.
 * @example
 * const { maxShare } = createRankAdmission(call, context);
 */
export function createRankAdmission(
  { service, rank, rankCount }: Pick<Call, "service" | "rank" | "rankCount">,
  { rankTally, urgentShortage, random, metrics }: Pick<
    ServingContext,
    "rankTally" | "urgentShortage" | "random" | "metrics"
  >,
): RankAdmission {
  const getName = (one: number) => `${service} ${one}`;
  if (rankCount > 1) rankTally.note(getName(rank));
  const urgentShare = getUrgentShare({
    rank,
    rankCount,
    getRecent: (one) => rankTally.get(getName(one)),
  });
  const isExempt = rank > 0 && random() < EXEMPT_SHARE;
  let wasHeld = false;
  return {
    isExempt,
    get maxShare() {
      const isReserved = !isExempt && urgentShortage.isShort(service, rank);
      return getAdmissionShare({ urgentShare, isExempt: !isReserved });
    },
    noteFull() {
      if (rankCount > 1) urgentShortage.note(service, isExempt ? 0 : rank);
      if (wasHeld || rank === 0 || isExempt) return;
      wasHeld = true;
      metrics.count("admission.held");
    },
  };
}
