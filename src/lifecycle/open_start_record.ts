/**
 * Records in the data folder how often a program was started, and why it ended.
 *
 * @module
 */

import { existsSync, readFileSync, writeFileSync } from "node:fs";
import { join } from "node:path";
import Type, { type Static } from "typebox";
import { Value } from "typebox/value";
import type { Logger } from "../logs/index.ts";
import type { MetricName, Metrics } from "../metrics/index.ts";
import { EXIT_CODES } from "./end_reasons.ts";

const EndSchema = Type.Object({
  reason: Type.Enum(Object.keys(EXIT_CODES)),
  /** The error, if there was one. */
  detail: Type.String(),
});

const CountSchema = Type.Integer({ minimum: 0 });

const RecordSchema = Type.Object({
  /** Number of starts, by how the previous process ended. */
  startsAfter: Type.Object({
    stop: CountSchema,
    failure: CountSchema,
    unrecordedEnd: CountSchema,
  }),
  /** How the last process ended; absent while it runs, and if it was killed. */
  end: Type.Optional(EndSchema),
});

type RecordedStarts = Static<typeof RecordSchema>;

/** The end of a process. */
export type RecordedEnd = Static<typeof EndSchema>;

/** Record of the starts of a program. */
export interface StartRecord {
  /** Stores that this process runs, also if the folder didn't exist at first. */
  writeStart(): void;
  /** Stores why this process ends. */
  writeEnd(end: RecordedEnd): void;
}

/** Options of {@link openStartRecord}. */
export interface OpenStartRecordOptions {
  /** Folder that persists across restarts, owned by this process. */
  readonly folder: string;
  /** Name of the program. */
  readonly program: string;
  readonly log: Logger;
  readonly metrics: Metrics;
}

const METRIC_NAMES: Readonly<
  Record<keyof RecordedStarts["startsAfter"], MetricName>
> = {
  stop: "process.starts_after_stop",
  failure: "process.starts_after_failure",
  unrecordedEnd: "process.starts_after_unrecorded_end",
};

/**
 * Opens the record, logs how the previous process ended, and counts this start.
 *
 * The record is not synced and may be lost. A file that can't be read or written
 * doesn't keep the program from starting.
 *
 * @param options - The folder, the program, the log and the metrics.
 * @returns The record.
 * @throws Nothing.
 * @example
 * const record = openStartRecord({ folder, program, log, metrics });
 * record.writeEnd({ reason: "stopped", detail: "" });
 */
export function openStartRecord(options: OpenStartRecordOptions): StartRecord {
  const { folder, program, log, metrics } = options;
  const path = join(folder, `starts-${program}.json`);
  const before = readRecord(path);
  const startsAfter = before?.startsAfter ??
    { stop: 0, failure: 0, unrecordedEnd: 0 };
  if (before) startsAfter[getPreviousEnd(before)] += 1;
  for (const [kind, name] of Object.entries(METRIC_NAMES)) {
    metrics.gauge(name, startsAfter[kind as keyof typeof startsAfter]);
  }
  log("startCounted", { startsAfter, previousEnd: before?.end });
  const write = (record: RecordedStarts) =>
    writeFileSync(path, JSON.stringify(record));
  function writeStart(): void {
    try {
      write({ startsAfter });
    } catch (error) {
      log("endNotRecorded", { error });
    }
  }
  // The program itself creates its folder.
  if (existsSync(folder)) writeStart();
  return { writeStart, writeEnd: (end) => write({ startsAfter, end }) };
}

function readRecord(path: string): RecordedStarts | undefined {
  try {
    const record: unknown = JSON.parse(readFileSync(path, "utf8"));
    return Value.Check(RecordSchema, record) ? record : undefined;
  } catch {
    // Absent, or lost in part with a loss of power: counting starts anew.
    return undefined;
  }
}

function getPreviousEnd(
  { end }: RecordedStarts,
): keyof RecordedStarts["startsAfter"] {
  if (end === undefined) return "unrecordedEnd";
  return end.reason === "stopped" ? "stop" : "failure";
}
