/**
 * `crowlever explain`: explains the state of a resource or of a request.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import { text } from "node:stream/consumers";
import process from "node:process";
import { Args, Flags } from "@oclif/core";
import { request } from "undici";
import { traceRequest } from "../../logs/index.ts";
import { BaseCommand, EXIT_REFUSED, EXIT_USAGE } from "../base_command.ts";

interface Trace {
  readonly outcome: string;
  readonly steps: readonly { atMs: number; what: string }[];
}

/** Explains why declared and live state differ, or what happened to a request. */
export class ExplainCommand extends BaseCommand {
  static override summary =
    "Explain why a resource is not in force yet, or what happened to a request";
  static override description =
    "With kind/name: what differs, why, and what is being done about it. With a request id, --entry and --key: the steps of the request. With a request id and --logs: its lines in the logs of all processes, in chronological order.";
  static override examples = [
    "<%= config.bin %> explain service/drafting",
    "<%= config.bin %> explain entry-1-mf2k-17 --entry http://10.0.0.7:8080 --key KEY",
    "<%= config.bin %> explain 9c41d07be2a35f68 --logs vm-1.log --logs vm-2.log",
    "cat *.log | <%= config.bin %> explain 9c41d07be2a35f68 --logs -",
  ];
  static override args = {
    what: Args.string({
      required: true,
      description: "kind/name, or a request id",
    }),
  };
  static override flags = {
    entry: Flags.string({
      description: "Address of the entry that served the request",
    }),
    key: Flags.string({ description: "API key of the client account" }),
    logs: Flags.string({
      description: "Log file; - reads the standard input",
      multiple: true,
    }),
  };

  /** Runs the command. */
  async run(): Promise<void> {
    const { args, flags } = await this.parse(ExplainCommand);
    if (flags.logs !== undefined) {
      const { logs, output } = flags;
      return await this.explainFromLogs(args.what, { logs, output });
    }
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

  private async explainFromLogs(
    requestId: string,
    options: { logs: readonly string[]; output: "table" | "json" | "name" },
  ): Promise<void> {
    const texts = await Promise.all(options.logs.map(readLog)).catch((error) =>
      this.error((error as Error).message, { exit: EXIT_USAGE })
    );
    const lines = texts.flatMap((one) => one.split("\n"));
    const traced = traceRequest(lines, { requestId });
    if (traced.length === 0) {
      this.error(`No log line found for request ${requestId}`, {
        exit: EXIT_REFUSED,
      });
    }
    const rows = traced.map(({ fields, ...line }) => ({
      ...line,
      fields: formatFields(fields),
    }));
    this.print(traced, { output: options.output, rows });
  }

  private async explainRequest(
    id: string,
    options: { entry: string; key: string; output: "table" | "json" | "name" },
  ): Promise<void> {
    const { entry, key, output } = options;
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

function readLog(file: string): Promise<string> {
  return file === "-" ? text(process.stdin) : readFile(file, "utf8");
}

// Every line of the request contains its id, so that field is left out.
function formatFields(fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields)
    .filter(([name]) => name !== "requestId")
    .map(([name, value]) => `${name}=${formatValue(value)}`)
    .join(" ");
}

function formatValue(value: unknown): string {
  return typeof value === "string" ? value : JSON.stringify(value);
}
