/**
 * `crowlever drain`: stops new work at an upstream.
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

/** Stops new work at an upstream, or lets it in again. */
export class DrainCommand extends BaseCommand {
  static override summary = "Stop new work at an upstream; what runs, finishes";
  static override description =
    "An entry or control process is drained by its own planned stop: send it SIGTERM.";
  static override examples = [
    "<%= config.bin %> drain engine-7",
    "<%= config.bin %> drain engine-7 --undo",
  ];
  static override args = {
    upstream: Args.string({ required: true, description: "The upstream" }),
  };
  static override flags = {
    undo: Flags.boolean({ description: "Let new work in again" }),
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
      this.error(`No pool has an upstream ${args.upstream}`, {
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
    const done = flags.undo ? "takes new work" : "drains";
    const rows = [{
      name: args.upstream,
      result: done,
      revision: result.revision,
    }];
    this.print(result, { output: flags.output, rows });
  }
}
