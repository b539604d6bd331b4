/**
 * `crowlever check`: validates settings and resource files offline.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { Args, Flags } from "@oclif/core";
import {
  ControlSettingsSchema,
  EntrySettingsSchema,
  parseSettings,
  SettingsError,
} from "../../settings/index.ts";
import { parseResources } from "../apply_resources.ts";
import { BaseCommand, EXIT_USAGE } from "../base_command.ts";
import { CliError } from "../create_operator_client.ts";

/** Validates a file and reports all problems at once. */
export class CheckCommand extends BaseCommand {
  static override summary = "Validate a settings or resource file";
  static override examples = [
    "<%= config.bin %> check fleet.jsonc --as resources",
    "<%= config.bin %> check entry.jsonc --as entry",
  ];
  static override args = {
    file: Args.string({ required: true, description: "Path of the file" }),
  };
  static override flags = {
    as: Flags.option({
      description: "Type of the file: resources, or the settings of a program",
      options: ["resources", "entry", "control"] as const,
      default: "resources" as const,
    })(),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(CheckCommand);
    const { file } = args;
    try {
      checkText(await readFile(file, "utf8"), { file, as: flags.as });
    } catch (error) {
      const isExpected = error instanceof CliError ||
        error instanceof SettingsError ||
        (error as NodeJS.ErrnoException).code !== undefined;
      if (!isExpected) throw error;
      this.error((error as Error).message, { exit: EXIT_USAGE });
    }
    this.log(`${file}: valid`);
  }
}

function checkText(
  text: string,
  options: { file: string; as: "resources" | "entry" | "control" },
): void {
  const { file, as } = options;
  if (as === "resources") parseResources(text, { file });
  else {
    const schema = as === "entry" ? EntrySettingsSchema : ControlSettingsSchema;
    parseSettings(text, { file, schema });
  }
}
