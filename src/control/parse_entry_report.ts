/**
 * Reads what entries report in heartbeats.
 *
 * @module
 */

import { Type } from "typebox";
import { Value } from "typebox/value";
import type { EntryReport } from "../model/index.ts";
import { ControlError } from "./control_error.ts";

const AmountSchema = Type.Number({ minimum: 0 });

const EntryReportSchema = Type.Object({
  inFlight: AmountSchema,
  demandPerS: Type.Record(Type.String(), AmountSchema),
  poolDemandPerS: Type.Record(Type.String(), AmountSchema),
});

/** An entry's report has an unexpected format. */
export const EntryReportError = ControlError.subclass("EntryReportError");

/**
 * Reads a report. The reports of all entries are used later, in timers, where one of
 * another form would end the process.
 *
 * @param text - The report as JSON text.
 * @returns The report.
 * @throws {SyntaxError} If the text is not JSON.
 * @throws {EntryReportError} If it has another form.
 * @example
 * const report = parseEntryReport(heartbeat.report);
 */
export function parseEntryReport(text: string): EntryReport {
  const report: unknown = JSON.parse(text);
  if (!Value.Check(EntryReportSchema, report)) {
    throw new EntryReportError("The entry's report has an invalid format");
  }
  return report as EntryReport;
}
