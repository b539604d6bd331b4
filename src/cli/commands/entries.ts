/**
 * `crowlever entries`: lists the entries that are published to callers.
 *
 * @module
 */

import { BaseCommand } from "../base_command.ts";

interface Status {
  readonly entries: readonly {
    vm: string;
    place: string;
    address: string;
    leaving: boolean;
    inFlight: number;
  }[];
}

/** Lists the entries that are published to callers. */
export class EntriesCommand extends BaseCommand {
  static override summary = "List the entries that are published to callers";
  static override examples = ["<%= config.bin %> entries -o name"];

  /** Runs the command. */
  async run(): Promise<void> {
    const { flags } = await this.parse(EntriesCommand);
    const client = this.makeClient(flags);
    const { entries } = await client.call<Status>({ path: "/v1/status" });
    const rows = entries.map(({ vm, place, address, leaving, inFlight }) => ({
      name: vm,
      place,
      address,
      leaving,
      "in flight": inFlight,
    }));
    this.print(entries, { output: flags.output, rows });
  }
}
