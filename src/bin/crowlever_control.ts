#!/usr/bin/env node
/**
 * `crowlever-control`: quorum, resource API, sessions with entries.
 *
 * @module
 */

import process from "node:process";

// By default the signal would end the process while its modules load.
process.on("SIGHUP", () => {});
const { inspectDataFolder } = await import("../control/inspect_data_folder.ts");
const { startControl } = await import("../control/index.ts");
const { ControlSettingsSchema } = await import("../settings/index.ts");
const { runProgram } = await import("./run_program.ts");

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
