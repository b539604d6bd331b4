/**
 * Prints measurement results as Markdown tables.
 *
 * @module
 */

import process from "node:process";

/** One row: values by column title. */
export type TableRow = Readonly<Record<string, string | number>>;

/** Prints rows as a Markdown table; the first row's keys are its columns. */
export function printTable(rows: readonly TableRow[]): void {
  if (rows.length === 0) return;
  const columns = Object.keys(rows[0]);
  const width = (column: string) =>
    Math.max(
      column.length,
      ...rows.map((row) => String(row[column] ?? "").length),
    );
  const line = (cells: readonly string[]) => `| ${cells.join(" | ")} |`;
  const pad = (text: string, column: string) => text.padEnd(width(column));
  const lines = [
    line(columns.map((column) => pad(column, column))),
    line(columns.map((column) => "-".repeat(width(column)))),
    ...rows.map((row) =>
      line(columns.map((column) => pad(String(row[column] ?? ""), column)))
    ),
  ];
  process.stdout.write(`${lines.join("\n")}\n`);
}
