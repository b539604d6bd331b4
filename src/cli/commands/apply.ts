/**
 * `crowlever apply`: applies the resources of a file.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { Flags } from "@oclif/core";
import { applyResources, parseResources } from "../apply_resources.ts";
import { BaseCommand, EXIT_USAGE } from "../base_command.ts";
import { CliError } from "../create_operator_client.ts";

/** Creates or changes the resources of a file that differ from the current ones. */
export class ApplyCommand extends BaseCommand {
  static override summary = "Create or change the resources of a file";
  static override examples = [
    "<%= config.bin %> apply -f fleet.jsonc",
    "<%= config.bin %> apply -f fleet.jsonc --check",
  ];
  static override flags = {
    file: Flags.string({
      char: "f",
      required: true,
      description:
        "JSON with comments: an array of objects with kind, name and spec",
    }),
    check: Flags.boolean({ description: "Only validate the file" }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { flags } = await this.parse(ApplyCommand);
    const declared = await this.read(flags.file);
    if (flags.check) {
      this.log(`${flags.file}: ${declared.length} resources are valid`);
      return;
    }
    const applied = await applyResources(this.makeClient(flags), declared);
    const rows = applied.map((one) => ({ ...one }));
    this.print(applied, { output: flags.output, rows });
  }

  private async read(file: string) {
    try {
      return parseResources(await readFile(file, "utf8"), { file });
    } catch (error) {
      const isExpected = error instanceof CliError ||
        (error as NodeJS.ErrnoException).code !== undefined;
      if (!isExpected) throw error;
      this.error((error as Error).message, { exit: EXIT_USAGE });
    }
  }
}
