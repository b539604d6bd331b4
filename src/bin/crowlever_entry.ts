#!/usr/bin/env node
/**
 * `crowlever-entry`: serves the requests of callers.
 *
 * @module
 */

import process from "node:process";

// By default the signal would end the process while its modules load.
process.on("SIGHUP", () => {});
const { startEntry } = await import("../entry/index.ts");
const { EntrySettingsSchema } = await import("../settings/index.ts");
const { runProgram } = await import("./run_program.ts");

await runProgram({
  program: "crowlever-entry",
  schema: EntrySettingsSchema,
  start: ({ settings, log, metrics }) => startEntry(settings, { log, metrics }),
});
