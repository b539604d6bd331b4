/**
 * `crowlever explain`: why something is as it is.
 *
 * @module
 */

import { Args, Flags } from "@oclif/core";
import { request } from "undici";
import { BaseCommand, EXIT_REFUSED } from "../base_command.ts";

interface Trace {
  readonly outcome: string;
  readonly steps: readonly { atMs: number; what: string }[];
}

/** Says why declared and live state differ, or what became of a request. */
export class ExplainCommand extends BaseCommand {
  static override summary =
    "Say why a resource is not in force yet, or what became of a request";
  static override description =
    "With kind/name: what differs, why, and what is being done. With a request's id, --entry and --key: the steps of the request.";
  static override examples = [
    "<%= config.bin %> explain service/drafting",
    "<%= config.bin %> explain entry-1-mf2k-17 --entry http://10.0.0.7:8080 --key KEY",
  ];
  static override args = {
    what: Args.string({
      required: true,
      description: "kind/name, or a request's id",
    }),
  };
  static override flags = {
    entry: Flags.string({ description: "Address of the entry that served it" }),
    key: Flags.string({ description: "Key of the client account" }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(ExplainCommand);
    if (flags.entry !== undefined) {
      const { what } = args;
      const { entry, key = "", output } = flags;
      return await this.explainRequest(what, { entry, key, output });
    }
    const { kind, name } = this.parseName(args.what);
    const answer = await this.makeClient(flags).call<{
      explanations: { what: string; why: string; doing: string }[];
    }>({ path: `/v1/explain/${kind}/${name}` });
    if (answer.explanations.length === 0 && flags.output === "table") {
      this.log(`${args.what} is in force everywhere`);
      return;
    }
    this.print(answer, { output: flags.output, rows: answer.explanations });
  }

  private async explainRequest(
    id: string,
    from: { entry: string; key: string; output: "table" | "json" | "name" },
  ): Promise<void> {
    const { entry, key, output } = from;
    const response = await request(`${entry}/v1/requests/${id}`, {
      headers: { authorization: `Bearer ${key}` },
    });
    const trace = await response.body.json() as Trace;
    if (response.statusCode !== 200) {
      this.error(`Entry ${entry} does not know request ${id}`, {
        exit: EXIT_REFUSED,
      });
    }
    const steps = [
      ...trace.steps.map(({ atMs, what }) => ({ ms: atMs.toFixed(1), what })),
      { ms: "", what: `outcome ${trace.outcome}` },
    ];
    this.print(trace, { output, rows: steps });
  }
}
