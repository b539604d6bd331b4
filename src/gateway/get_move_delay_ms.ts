/**
 * Computes when a run moves off an engine that is leaving.
 *
 * @module
 */

/**
 * Share of an engine's drain time over which its runs are moved. The rest is for
 * attempts that find no other engine yet and for the leave to become known.
 */
const MOVE_WINDOW_SHARE = 0.6;

/**
 * Gets the time that a run stays on an engine of its path that has announced its leave.
 * Each engine that takes a run over reads all of the run's tokens first. Where all runs
 * of a leaving engine moved at once, half of them paused for more than 290 ms; spread
 * over the drain time they hardly wait for each other, and runs that end before need
 * not move.
 *
 * @param options - How long a leaving engine goes on serving, and a number in [0, 1).
 * @returns The time in ms; 0 where it is not known how long the engine serves.
 * @throws Nothing.
 * @example
 * const delayMs = getMoveDelayMs({ drainMs: 2_500, random: random() });
 */
export function getMoveDelayMs(
  options: { readonly drainMs: number; readonly random: number },
): number {
  return options.drainMs * MOVE_WINDOW_SHARE * options.random;
}
