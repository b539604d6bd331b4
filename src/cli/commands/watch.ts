/**
 * `crowlever watch`: prints changes as they are accepted.
 *
 * @module
 */

import { Args, Flags } from "@oclif/core";
import { BaseCommand, EXIT_UNAVAILABLE } from "../base_command.ts";

/** Prints changes as they are accepted. */
export class WatchCommand extends BaseCommand {
  static override summary = "Follow changes as they are accepted";
  static override description =
    "Prints a line for each change. A relist line means that older changes are no longer kept: list the resources again, then watch from that revision.";
  static override examples = [
    "<%= config.bin %> watch",
    "<%= config.bin %> watch clientAccount --since 120 -o json",
  ];
  static override args = {
    kind: Args.string({ description: "Only changes of this kind" }),
  };
  static override flags = {
    since: Flags.integer({ description: "Revision after which to start" }),
    count: Flags.integer({
      description: "Number of changes after which to exit",
    }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(WatchCommand);
    const client = this.makeClient(flags);
    let remaining = flags.count ?? Infinity;
    for await (
      const line of client.watch({ kind: args.kind, since: flags.since })
    ) {
      if (flags.output === "json") this.log(JSON.stringify(line));
      else if (line.type === "change") {
        const what = line.resource ? "changed" : "deleted";
        this.log(`${line.revision} ${line.kind}/${line.name} ${what}`);
      } else if (line.type === "relist") this.log(`${line.revision} relist`);
      if (line.type === "change") remaining -= 1;
      if (remaining <= 0) this.exit(0);
    }
    this.exit(EXIT_UNAVAILABLE);
  }
}
