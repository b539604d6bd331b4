/**
 * Ends a process so that its log tells the reason.
 *
 * @module
 */

import { writeSync } from "node:fs";
import { describeError, type EventName, type Logger } from "../logs/index.ts";
import { QuorumInvariantError } from "../quorum/index.ts";
import { type EndReason, EXIT_CODES } from "./end_reasons.ts";
import type { StartRecord } from "./open_start_record.ts";

/** Reasons of an end by an error. */
type Failure = Exclude<EndReason, "stopped">;

const FAILURE_EVENTS: Readonly<Record<Failure, EventName>> = {
  settingsInvalid: "settingsWrong",
  startFailed: "startFailed",
  failed: "failed",
};

/** Options of {@link createProcessEnd}. */
export interface CreateProcessEndOptions {
  readonly log: Logger;
  /** Writes all buffered log lines before it returns; by default none are buffered. */
  readonly flushLog?: () => void;
  /** Writes a line if the log can't be flushed; by default to the standard error. */
  readonly writeLine?: (line: string) => void;
  readonly exit: (code: number) => void;
}

/** Ends the process. */
export interface ProcessEnd {
  /** Ends it after an error; at once if it is ending already. */
  fail(reason: Failure, error: unknown): void;
  /** Ends it after a graceful shutdown. */
  stop(): void;
  /** Stores the reason of the end in a record, too. */
  useRecord(record: StartRecord): void;
}

/**
 * Creates the functions that end the process: they log why, flush the log, store the
 * reason for the next start, and exit. A log that can't be written neither keeps the
 * process from ending nor changes its exit code.
 *
 * @param options - The log and how to exit.
 * @returns The functions.
 * @throws Nothing.
 * @example
 * const processEnd = createProcessEnd({ log, exit: process.exit });
 * process.on("uncaughtException", (error) => processEnd.fail("failed", error));
 */
export function createProcessEnd(options: CreateProcessEndOptions): ProcessEnd {
  const {
    log,
    flushLog = () => {},
    writeLine = (line) => void writeSync(2, `${line}\n`),
    exit,
  } = options;
  let record: StartRecord | undefined;
  let isEnding = false;

  function end(reason: EndReason, detail: string): void {
    try {
      record?.writeEnd({ reason, detail });
    } catch (error) {
      log("endNotRecorded", { error });
    }
    try {
      flushLog();
    } catch (error) {
      writeWithoutLog({ reason, detail, logError: describeError(error) });
    }
    exit(EXIT_CODES[reason]);
  }

  function writeWithoutLog(fields: Readonly<Record<string, string>>): void {
    try {
      writeLine(
        `Process ends and can't write its log: ${JSON.stringify(fields)}`,
      );
    } catch {
      // No place is left for the line; the record has the reason.
    }
  }

  return {
    fail(reason, error) {
      if (isEnding) return exit(EXIT_CODES.failed);
      isEnding = true;
      if (error instanceof QuorumInvariantError) {
        log("invariantBroken", { error });
      }
      const detail = describeError(error);
      log(FAILURE_EVENTS[reason], {
        exitCode: EXIT_CODES[reason],
        error: detail,
        stack: error instanceof Error ? error.stack : undefined,
      });
      end(reason, detail);
    },
    stop() {
      if (isEnding) return;
      isEnding = true;
      log("stopped");
      end("stopped", "");
    },
    useRecord(used) {
      record = used;
    },
  };
}
