/**
 * Declares the resources of a file.
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

/** A resource as a file declares it. */
export interface DeclaredResource {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly spec: unknown;
}

/** What became of a declared resource. */
export interface AppliedResource {
  readonly kind: ResourceKind;
  readonly name: string;
  readonly result: "created" | "changed" | "unchanged";
  readonly revision: number;
}

/**
 * Reads the resources of a file and checks them.
 *
 * @param text - JSON with comments: an array of kind, name and spec.
 * @param options - The file's name, for messages.
 * @returns The resources.
 * @throws {CliError} Naming all that is wrong.
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
    throw new CliError(`${file}: found no array of resources`);
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
  const place = `${options.file}: item ${options.at} (${kind}/${name})`;
  const schema = SPEC_SCHEMAS[kind];
  if (!schema) return [`${place}: there is no kind ${kind}`];
  return findSchemaProblems(schema, spec).map(({ field, found, allowed }) =>
    `${place}: ${field || "spec"}: found ${found}, allowed is ${allowed}`
  );
}

/**
 * Declares resources one by one, each only where it differs.
 *
 * @param client - The operators' client.
 * @param declared - The resources.
 * @returns What became of each.
 * @throws {OperatorRequestError} Where control turns one down.
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
  const same = current !== undefined &&
    findSpecDifferences(current.spec, spec).length === 0;
  if (same) {
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
