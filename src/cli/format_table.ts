/**
 * Formats tables for the command line.
 *
 * @module
 */

/** A row: values by column name. */
export type Row = Readonly<Record<string, unknown>>;

/**
 * Formats rows as a table with a header line.
 *
 * @param rows - The rows; the keys of the first one are the columns.
 * @returns The lines of the table, joined by line breaks.
 * @throws Nothing.
 * @example
 * formatTable([{ name: "dock", revision: 7 }]);
 */
export function formatTable(rows: readonly Row[]): string {
  if (rows.length === 0) return "No results";
  const columns = Object.keys(rows[0]);
  const cell = (row: Row, column: string) => formatCell(row[column]);
  const widths = columns.map((column) =>
    Math.max(column.length, ...rows.map((row) => cell(row, column).length))
  );
  const line = (texts: readonly string[]) =>
    texts.map((text, at) => text.padEnd(widths[at])).join("  ").trimEnd();
  const head = line(columns.map((column) => column.toUpperCase()));
  const body = rows.map((row) =>
    line(columns.map((column) => cell(row, column)))
  );
  return [head, ...body].join("\n");
}

function formatCell(value: unknown): string {
  if (value === undefined) return "";
  return typeof value === "object" ? JSON.stringify(value) : String(value);
}
