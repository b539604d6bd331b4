/**
 * Validates a value against a schema and describes each violation in words.
 *
 * @module
 */

import type { TSchema } from "typebox";
import { Value } from "typebox/value";

/** One schema violation: its location, the value found and what is allowed. */
export interface SchemaProblem {
  /** Field names and array indexes, joined by dots; empty for the root value. */
  readonly field: string;
  /** The same location as path segments. */
  readonly path: readonly string[];
  readonly found: string;
  readonly allowed: string;
}

type AnySchema = TSchema & Record<string, unknown>;

/**
 * Finds all violations of a schema by a value.
 *
 * @param schema - The schema.
 * @param value - The value to check.
 * @returns The first problem of each field; empty if the value is valid.
 * @throws Nothing.
 * @example
 * const problems = findSchemaProblems(PoolSpecSchema, { upstreams: 5 });
 */
export function findSchemaProblems(
  schema: TSchema,
  value: unknown,
): SchemaProblem[] {
  const problems = new Map<string, SchemaProblem>();
  for (const error of Value.Errors(schema, value)) {
    for (const path of listProblemPaths(error)) {
      const field = path.join(".");
      if (problems.has(field)) continue;
      problems.set(field, describeProblem(schema, { path, value }));
    }
  }
  return [...problems.values()].filter((problem) =>
    !hasDeeperProblem(problem, [...problems.values()])
  );
}

interface ValueError {
  readonly keyword: string;
  readonly instancePath: string;
  readonly params: object;
}

function listProblemPaths(error: ValueError): string[][] {
  const path = error.instancePath.split("/").slice(1);
  const params = error.params as {
    requiredProperties?: string[];
    additionalProperties?: string[];
  };
  if (error.keyword === "required") {
    return (params.requiredProperties ?? []).map((name) => [...path, name]);
  }
  if (error.keyword === "additionalProperties") {
    return (params.additionalProperties ?? []).map((name) => [...path, name]);
  }
  return [path];
}

// An object is reported only if none of its fields is reported.
function hasDeeperProblem(
  problem: SchemaProblem,
  all: readonly SchemaProblem[],
): boolean {
  return all.some((other) =>
    other.path.length > problem.path.length &&
    problem.path.every((segment, at) => other.path[at] === segment)
  );
}

function describeProblem(
  schema: TSchema,
  options: { path: string[]; value: unknown },
): SchemaProblem {
  const { path, value } = options;
  const found = path.reduce<unknown>(
    (at, segment) => (at as Record<string, unknown> | undefined)?.[segment],
    value,
  );
  const expected = findSubschema(schema as AnySchema, path);
  return {
    field: path.join("."),
    path,
    found: found === undefined ? "nothing" : JSON.stringify(found),
    allowed: expected ? describeSchema(expected) : "no such field",
  };
}

function findSubschema(
  schema: AnySchema,
  path: readonly string[],
): AnySchema | undefined {
  let at: AnySchema | undefined = schema;
  for (const segment of path) {
    const properties = at?.properties as Record<string, AnySchema> | undefined;
    at = properties?.[segment] ?? at?.items as AnySchema | undefined ??
      findPatternSchema(at);
  }
  return at;
}

function findPatternSchema(schema?: AnySchema): AnySchema | undefined {
  const patterns = schema?.patternProperties as
    | Record<string, AnySchema>
    | undefined;
  return patterns && Object.values(patterns)[0];
}

/**
 * Describes what a schema allows.
 *
 * @param schema - The schema.
 * @returns A short phrase such as "integer, at least 1".
 * @throws Nothing.
 * @example
 * describeSchema(Type.Integer({ minimum: 1 })); // "integer, at least 1"
 */
export function describeSchema(schema: TSchema): string {
  const at = schema as AnySchema;
  const choices = at.anyOf as AnySchema[] | undefined;
  if (choices) {
    return `one of ${
      choices.map((choice) => describeSchema(choice)).join(", ")
    }`;
  }
  if (at.const !== undefined) return JSON.stringify(at.const);
  const terms = [String(at.type)];
  if (at.minimum !== undefined) terms.push(`at least ${at.minimum}`);
  if (at.exclusiveMinimum !== undefined) {
    terms.push(`above ${at.exclusiveMinimum}`);
  }
  if (at.maximum !== undefined) terms.push(`at most ${at.maximum}`);
  if (at.minItems !== undefined) terms.push(`${at.minItems} items or more`);
  if (at.minLength !== undefined) {
    terms.push(`${at.minLength} characters or more`);
  }
  if (at.pattern !== undefined) terms.push(`matching ${at.pattern}`);
  return terms.join(", ");
}
