/**
 * `crowlever status`: shows the state of the fleet.
 *
 * @module
 */

import { BaseCommand } from "../base_command.ts";

interface Status {
  readonly leader: string;
  readonly term: number;
  readonly acceptedRevision: number;
  readonly inForceRevision: number;
  readonly lagging: readonly { vm: string; revision: number }[];
  readonly members: readonly { vm: string; role: string; matchIndex: number }[];
  readonly entries: readonly {
    vm: string;
    place: string;
    revision: number;
    inFlight: number;
    leaving: boolean;
  }[];
}

/** Shows the leader, the accepted and applied revisions, and lagging entries. */
export class StatusCommand extends BaseCommand {
  static override summary =
    "Show the leader, the applied revision and lagging entries";
  static override examples = ["<%= config.bin %> status"];

  /** Runs the command. */
  async run(): Promise<void> {
    const { flags } = await this.parse(StatusCommand);
    const client = this.makeClient(flags);
    const status = await client.call<Status>({ path: "/v1/status" });
    if (flags.output !== "json") {
      this.log(`Leader ${status.leader} in term ${status.term}`);
      this.log(
        `Revision ${status.acceptedRevision} accepted, ${status.inForceRevision} in force everywhere`,
      );
      for (const { vm, revision } of status.lagging) {
        this.log(`Entry ${vm} lags at revision ${revision}`);
      }
    }
    const members = status.members.map(({ vm, role }) => ({ name: vm, role }));
    const entries = status.entries.map(({ vm, ...entry }) => ({
      name: vm,
      role: entry.leaving ? "entry, leaving" : "entry",
      place: entry.place,
      revision: entry.revision,
      "in flight": entry.inFlight,
    }));
    const rows = [...entries, ...members];
    this.print(status, { output: flags.output, rows });
  }
}
