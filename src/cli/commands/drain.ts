/**
 * `crowlever drain`: stops sending new requests to an upstream.
 *
 * @module
 */

import { Args, Flags } from "@oclif/core";
import type { PoolSpec } from "../../model/index.ts";
import { BaseCommand, EXIT_USAGE } from "../base_command.ts";

interface Pool {
  readonly name: string;
  readonly spec: PoolSpec;
  readonly revision: number;
}

/** Stops sending new requests to an upstream, or resumes it. */
export class DrainCommand extends BaseCommand {
  static override summary =
    "Stop sending new requests to an upstream; running ones finish";
  static override description =
    "To drain an entry or control process, send it SIGTERM: it shuts down gracefully.";
  static override examples = [
    "<%= config.bin %> drain engine-7",
    "<%= config.bin %> drain engine-7 --undo",
  ];
  static override args = {
    upstream: Args.string({
      required: true,
      description: "Name of the upstream",
    }),
  };
  static override flags = {
    undo: Flags.boolean({ description: "Send new requests to it again" }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(DrainCommand);
    const client = this.makeClient(flags);
    const { items } = await client.call<{ items: Pool[] }>({
      path: "/v1/resources/pool",
    });
    const pool = items.find(({ spec }) =>
      spec.upstreams.some(({ name }) => name === args.upstream)
    );
    if (!pool) {
      this.error(`No pool contains an upstream named ${args.upstream}`, {
        exit: EXIT_USAGE,
      });
    }
    const upstreams = pool.spec.upstreams.map((upstream) =>
      upstream.name === args.upstream
        ? { ...upstream, drain: !flags.undo }
        : upstream
    );
    const result = await client.call<{ revision: number }>({
      method: "PUT",
      path: `/v1/resources/pool/${pool.name}`,
      body: { spec: { upstreams }, revision: pool.revision },
    });
    const status = flags.undo ? "accepts new requests" : "drains";
    const rows = [{
      name: args.upstream,
      result: status,
      revision: result.revision,
    }];
    this.print(result, { output: flags.output, rows });
  }
}
