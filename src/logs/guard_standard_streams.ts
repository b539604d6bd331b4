/**
 * Keeps a standard stream from ending or blocking the process.
 *
 * @module
 */

import process from "node:process";
import type { Logger } from "./create_logger.ts";

/** Options of {@link guardStandardStreams}. */
export interface GuardStandardStreamsOptions {
  readonly log: Logger;
}

/**
 * Handles errors of the standard output and error.
 *
 * Without a handler, the first warning that the runtime prints after the reader of a
 * stream is gone ends the process. Opening the streams also makes pipes and sockets
 * non-blocking: a process can't exit while one of its threads is blocked in a write to
 * a full pipe.
 *
 * @param options - The log.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * guardStandardStreams({ log });
 */
export function guardStandardStreams(
  options: GuardStandardStreamsOptions,
): void {
  const { log } = options;
  for (const name of ["stdout", "stderr"] as const) {
    const onError = (error: unknown) => log("streamFailed", { name, error });
    try {
      process[name].on("error", onError);
    } catch (error) {
      onError(error);
    }
  }
}
