/**
 * Applies the resources that a file declares.
 *
 * @module
 */

import { createHash } from "node:crypto";
import { parse, type ParseError, printParseErrorCode } from "jsonc-parser";
import {
  findSchemaProblems,
  type ResourceKind,
  SPEC_SCHEMAS,
} from "../model/index.ts";
import { findSpecDifferences } from "../resources/index.ts";
import {
  CliError,
  type OperatorClient,
  OperatorRequestError,
} from "./create_operator_client.ts";

/** A resource as declared in a file. */
export interface DeclaredResource {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly spec: unknown;
}

/** The result of applying a declared resource. */
export interface AppliedResource {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly result: "created" | "changed" | "unchanged";
  readonly revision: number;
}

/**
 * Parses and validates the resources of a file.
 *
 * @param text - JSON with comments: an array of objects with kind, name and spec.
 * @param options - The file's name, for error messages.
 * @returns The resources.
 * @throws {CliError} With all problems found.
 * @example
 * const declared = parseResources(text, { file: "fleet.jsonc" });
 */
export function parseResources(
  text: string,
  options: { file: string },
): DeclaredResource[] {
  const { file } = options;
  const errors: ParseError[] = [];
  const value = parse(text, errors, { allowTrailingComma: true }) as unknown;
  if (errors.length > 0) {
    const lines = errors.map(({ error, offset }) => {
      const line = text.slice(0, offset).split("\n").length;
      return `${file}:${line}: ${printParseErrorCode(error)}`;
    });
    throw new CliError(lines.join("\n"));
  }
  if (!Array.isArray(value)) {
    throw new CliError(`${file}: expected an array of resources`);
  }
  const declared = value as DeclaredResource[];
  const problems = declared.flatMap((resource, at) =>
    checkResource(resource, { file, at })
  );
  if (problems.length > 0) throw new CliError(problems.join("\n"));
  return declared;
}

function checkResource(
  resource: DeclaredResource,
  options: { file: string; at: number },
): string[] {
  const { kind, name, spec } = resource;
  const location = `${options.file}: item ${options.at} (${kind}/${name})`;
  const schema = SPEC_SCHEMAS[kind];
  if (!schema) return [`${location}: unknown kind ${kind}`];
  return findSchemaProblems(schema, spec).map(({ field, found, allowed }) =>
    `${location}: ${field || "spec"}: found ${found}, allowed is ${allowed}`
  );
}

/**
 * Applies resources one by one, and only those that differ from the current ones.
 *
 * @param client - The operator client.
 * @param declared - The resources.
 * @returns The result of each.
 * @throws {OperatorRequestError} If control rejects one of them.
 * @example
 * const applied = await applyResources(client, declared);
 */
export async function applyResources(
  client: OperatorClient,
  declared: readonly DeclaredResource[],
): Promise<AppliedResource[]> {
  const applied: AppliedResource[] = [];
  for (const resource of declared) {
    applied.push(await applyOne(client, resource));
  }
  return applied;
}

async function applyOne(
  client: OperatorClient,
  { kind, name, spec }: DeclaredResource,
): Promise<AppliedResource> {
  const path = `/v1/resources/${kind}/${name}`;
  const current = await readCurrent(client, path);
  const isUnchanged = current !== undefined &&
    findSpecDifferences(current.spec, spec).length === 0;
  if (isUnchanged) {
    return { kind, name, result: "unchanged", revision: current.revision };
  }
  const revision = current?.revision ?? 0;
  const changeId = createHash("sha256")
    .update(JSON.stringify({ kind, name, spec, revision }))
    .digest("hex");
  const answer = await client.call<{ revision: number }>({
    method: "PUT",
    path,
    body: { spec, revision },
    changeId,
  });
  const result = current ? "changed" : "created";
  return { kind, name, result, revision: answer.revision };
}

async function readCurrent(
  client: OperatorClient,
  path: string,
): Promise<{ spec: unknown; revision: number } | undefined> {
  try {
    return await client.call({ path });
  } catch (error) {
    const missing = error instanceof OperatorRequestError &&
      (error as { status?: number }).status === 404;
    if (missing) return undefined;
    throw error;
  }
}
