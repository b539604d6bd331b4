/**
 * `crowlever quarantine`: requests that upstreams ended under.
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

/** Shows who is suspected or held back, and lets a request go free. */
export class QuarantineCommand extends BaseCommand {
  static override summary =
    "Show which requests are suspected of ending upstreams, or lift a hold";
  static override description =
    "The key of a request stands in the log lines of its sends (requestKey).";
  static override examples = [
    "<%= config.bin %> quarantine",
    "<%= config.bin %> quarantine --lift tpuWNBAVasfkS-O8",
  ];
  static override flags = {
    lift: Flags.string({ description: "Key of a request that is to go free" }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { flags } = await this.parse(QuarantineCommand);
    const client = this.makeClient(flags);
    if (flags.lift !== undefined) {
      const path = `/v1/quarantine/${encodeURIComponent(flags.lift)}`;
      await client.call({ method: "DELETE", path });
      return this.log(`${flags.lift} is lifted`);
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
