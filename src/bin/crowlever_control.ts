#!/usr/bin/env node
/**
 * `crowlever-control`: quorum, resource API, sessions with entries.
 *
 * @module
 */

import { inspectDataFolder } from "../control/inspect_data_folder.ts";
import { startControl } from "../control/index.ts";
import { ControlSettingsSchema } from "../settings/index.ts";
import { runProgram } from "./run_program.ts";

await runProgram({
  program: "crowlever-control",
  schema: ControlSettingsSchema,
  flags: {
    form: "Form a new cluster; run once, on one VM only",
    inspect: "Print the contents of the data folder and exit",
  },
  async inspect({ settings, flags }) {
    if (!flags.inspect) return false;
    await inspectDataFolder(settings);
    return true;
  },
  start: ({ settings, flags, ...context }) =>
    startControl(settings, { form: flags.form, ...context }),
});
