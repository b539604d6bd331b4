/**
 * Bounds of the accepted state.
 *
 * @module
 */

/**
 * Answers kept for repeated changes. At 1,100 changes a day this is nine days,
 * far longer than any caller repeats.
 */
export const MAX_ANSWERED_CHANGES = 10_000;

/**
 * Changes kept for watches that resume. At 1,100 changes a day this is more
 * than three days; a watch that is further behind is told to list anew.
 */
export const MAX_HISTORY_CHANGES = 4_096;
