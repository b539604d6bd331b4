/**
 * Parses settings in JSON with comments and validates them against a schema.
 *
 * @module
 */

import {
  findNodeAtLocation,
  getNodeValue,
  type Node,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import type { Static, TSchema } from "typebox";
import { Value } from "typebox/value";
import { findSchemaProblems, type SchemaProblem } from "../model/index.ts";
import { SettingsError } from "./settings_error.ts";

/** Options of {@link parseSettings}. */
export interface ParseSettingsOptions {
  /** The file's name, for error messages. */
  readonly file: string;
}

/**
 * Parses and validates the text of a settings file; missing fields get their
 * defaults.
 *
 * @param text - JSON with comments; trailing commas are allowed.
 * @param schema - The program's settings schema.
 * @param options - The schema, and the file's name.
 * @returns The settings.
 * @throws {SettingsError} With file, line, field, the value found and what is
 * allowed, for all problems at once.
 * @example
 * const settings = parseSettings(text, { schema, file: "entry.jsonc" });
 */
export function parseSettings<Schema extends TSchema>(
  text: string,
  options: ParseSettingsOptions & { schema: Schema },
): Static<Schema> {
  const { file, schema } = options;
  const errors: ParseError[] = [];
  const tree = parseTree(text, errors, { allowTrailingComma: true });
  const syntaxErrors = errors.map((error) =>
    `${file}:${getLine(text, error.offset)}: ${
      printParseErrorCode(error.error)
    }`
  );
  if (syntaxErrors.length > 0 || !tree) {
    throw new SettingsError(
      syntaxErrors.join("\n") || `${file}:1: The file is empty`,
    );
  }
  const value = Value.Default(schema, getNodeValue(tree));
  const problems = findSchemaProblems(schema, value);
  if (problems.length > 0) {
    const lines = problems.map((problem) =>
      formatProblem(problem, { file, text, tree })
    );
    throw new SettingsError(lines.join("\n"));
  }
  return value as Static<Schema>;
}

function formatProblem(
  problem: SchemaProblem,
  options: { file: string; text: string; tree: Node },
): string {
  const { file, text, tree } = options;
  const line = getLine(text, findOffset(tree, problem.path));
  const field = problem.field || "the whole file";
  return `${file}:${line}: ${field}: found ${problem.found}, allowed is ${problem.allowed}`;
}

function findOffset(tree: Node, path: readonly string[]): number {
  for (let length = path.length; length >= 0; length--) {
    const steps = path.slice(0, length)
      .map((step) => /^\d+$/.test(step) ? Number(step) : step);
    const node = findNodeAtLocation(tree, steps);
    if (node) return node.offset;
  }
  return tree.offset;
}

function getLine(text: string, offset: number): number {
  return text.slice(0, offset).split("\n").length;
}
