#!/usr/bin/env node
/**
 * `crowlever-entry`: serves the requests of callers.
 *
 * @module
 */

import { startEntry } from "../entry/index.ts";
import { EntrySettingsSchema } from "../settings/index.ts";
import { runProgram } from "./run_program.ts";

await runProgram({
  program: "crowlever-entry",
  schema: EntrySettingsSchema,
  start: ({ settings, log, metrics }) => startEntry(settings, { log, metrics }),
});
