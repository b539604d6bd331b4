/**
 * Common code of the `crowlever` commands: addresses, token, output, exit codes.
 *
 * @module
 */

import process from "node:process";
import { Command, Flags } from "@oclif/core";
import {
  createOperatorClient,
  type OperatorClient,
  OperatorRequestError,
} from "./create_operator_client.ts";
import { formatTable, type Row } from "./format_table.ts";

/** Exit code: control rejected the call. */
export const EXIT_REFUSED = 1;

/** Exit code: invalid arguments, file or settings. */
export const EXIT_USAGE = 2;

/** Exit code: the resource has changed since it was read. */
export const EXIT_CONFLICT = 3;

/** Exit code: no control process answered, or there is no leader. */
export const EXIT_UNAVAILABLE = 4;

/** Output formats of results. */
export type OutputFormat = "table" | "json" | "name";

const RESOURCE_NAME = /^([a-zA-Z]+)\/([a-z0-9.-]+)$/;

/** Base class of all commands. */
export abstract class BaseCommand extends Command {
  static override baseFlags = {
    control: Flags.string({
      description:
        "Addresses of the control processes, separated by commas; by default CROWLEVER_CONTROL",
      env: "CROWLEVER_CONTROL",
      default: "127.0.0.1:7001",
    }),
    token: Flags.string({
      description: "The operator's token; by default CROWLEVER_TOKEN",
      env: "CROWLEVER_TOKEN",
      default: "",
    }),
    output: Flags.option({
      char: "o",
      description: "Output format of results",
      options: ["table", "json", "name"] as const,
      default: "table" as const,
    })(),
  };

  protected makeClient(
    flags: { control: string; token: string },
  ): OperatorClient {
    const addresses = flags.control.split(",").filter((one) => one !== "");
    return createOperatorClient({ addresses, token: flags.token });
  }

  /** Prints the rows as a table, the value as JSON, or a `kind/name` line per row. */
  protected print(
    value: unknown,
    options: { output: OutputFormat; rows: readonly Row[] },
  ): void {
    const { output, rows } = options;
    if (output === "json") this.log(JSON.stringify(value, null, 2));
    else if (output === "table") this.log(formatTable(rows));
    else for (const row of rows) this.log(formatName(row));
  }

  /** Splits `kind/name`; exits with an error if the text is not of this form. */
  protected parseName(text: string): { kind: string; name: string } {
    const match = RESOURCE_NAME.exec(text);
    if (!match) {
      this.error(`Expected kind/name, found ${text}`, { exit: EXIT_USAGE });
    }
    return { kind: match[1], name: match[2] };
  }

  protected override async catch(error: Error & { exitCode?: number }) {
    if (!(error instanceof OperatorRequestError)) {
      return await super.catch(error);
    }
    const { reason, problem } = error as unknown as {
      reason: string;
      problem: { differs?: readonly string[] };
    };
    const differs = problem.differs ?? [];
    const fields = differs.length > 0
      ? `\n  differs: ${differs.join(", ")}`
      : "";
    process.stderr.write(`${error.message} (${reason})${fields}\n`);
    this.exit(getExitCode(reason));
  }
}

function getExitCode(reason: string): number {
  if (reason === "conflict") return EXIT_CONFLICT;
  const unavailable = ["no_answer", "not_leader", "undecided"];
  return unavailable.includes(reason) ? EXIT_UNAVAILABLE : EXIT_REFUSED;
}

function formatName(row: Row): string {
  return row.kind === undefined
    ? String(row.name ?? "")
    : `${row.kind}/${row.name}`;
}
