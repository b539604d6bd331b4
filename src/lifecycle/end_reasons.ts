/**
 * Why a process ends.
 *
 * @module
 */

/** Reasons for which a process ends by itself, with their exit codes. */
export const EXIT_CODES = {
  /** A signal asked it to stop. */
  stopped: 0,
  /** Its settings or arguments are invalid. */
  settingsInvalid: 2,
  /** A data folder was rejected, or a listener couldn't be opened. */
  startFailed: 3,
  /** An invariant was violated, or an error was caught nowhere. */
  failed: 4,
} as const;

/** Why a process ends. */
export type EndReason = keyof typeof EXIT_CODES;
