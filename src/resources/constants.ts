/**
 * Size limits of the accepted state.
 *
 * @module
 */

/**
 * Answers kept for retried changes. At 1,100 changes a day they cover nine days,
 * far longer than any client retries.
 */
export const MAX_ANSWERED_CHANGES = 10_000;

/**
 * Changes kept so that watches can resume. At 1,100 changes a day they cover
 * more than three days; a watch that is further behind has to list again.
 */
export const MAX_HISTORY_CHANGES = 4_096;
