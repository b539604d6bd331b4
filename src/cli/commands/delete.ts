/**
 * `crowlever delete`: deletes a resource.
 *
 * @module
 */

import { Args, Flags } from "@oclif/core";
import { BaseCommand } from "../base_command.ts";

/** Deletes a resource if it still has the expected revision. */
export class DeleteCommand extends BaseCommand {
  static override summary = "Delete a resource";
  static override examples = [
    "<%= config.bin %> delete clientAccount/dock",
    "<%= config.bin %> delete clientAccount/dock --revision 12",
  ];
  static override args = {
    what: Args.string({ required: true, description: "kind/name" }),
  };
  static override flags = {
    revision: Flags.integer({
      description: "Expected revision; by default the current one",
    }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(DeleteCommand);
    const { kind, name } = this.parseName(args.what);
    const client = this.makeClient(flags);
    const path = `/v1/resources/${kind}/${name}`;
    const revision = flags.revision ??
      (await client.call<{ revision: number }>({ path })).revision;
    const result = await client.call<{ revision: number }>({
      method: "DELETE",
      path: `${path}?revision=${revision}`,
    });
    const rows = [{ kind, name, result: "deleted", revision: result.revision }];
    this.print(result, { output: flags.output, rows });
  }
}
