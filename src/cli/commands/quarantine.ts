/**
 * `crowlever quarantine`: requests that are suspected of crashing upstreams.
 *
 * @module
 */

import { Flags } from "@oclif/core";
import { BaseCommand } from "../base_command.ts";

interface Quarantine {
  readonly cases: readonly {
    readonly requestKey: string;
    readonly engineIds: readonly string[];
    readonly heldMs: number;
  }[];
}

const MS_PER_S = 1_000;

/** Lists the suspected requests, or releases one of them. */
export class QuarantineCommand extends BaseCommand {
  static override summary =
    "List the requests suspected of crashing upstreams, or release one";
  static override description =
    "The key of a request is in the log lines of its sends (requestKey).";
  static override examples = [
    "<%= config.bin %> quarantine",
    "<%= config.bin %> quarantine --lift tpuWNBAVasfkS-O8",
  ];
  static override flags = {
    lift: Flags.string({ description: "Key of the request to release" }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { flags } = await this.parse(QuarantineCommand);
    const client = this.makeClient(flags);
    if (flags.lift !== undefined) {
      const path = `/v1/quarantine/${encodeURIComponent(flags.lift)}`;
      await client.call({ method: "DELETE", path });
      return this.log(`${flags.lift} is released`);
    }
    const found = await client.call<Quarantine>({ path: "/v1/quarantine" });
    const rows = found.cases.map(({ requestKey, engineIds, heldMs }) => ({
      name: requestKey,
      "held for s": Math.ceil(heldMs / MS_PER_S),
      "upstreams that ended": engineIds.join(" "),
    }));
    this.print(found, { output: flags.output, rows });
  }
}
