/**
 * Who calls the resource interface.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { hashSecret, isSameSecret, parseBearer } from "../http/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";

/** Somebody who showed a token. */
export interface KnownOperator {
  readonly name: string;
  readonly role: "admin" | "viewer";
}

/** Options of {@link findOperator}. */
export interface FindOperatorOptions {
  readonly getResources: () => ResourceState;
  /** SHA-256 of the token that counts until an operator is declared. */
  readonly bootstrapTokenSha256?: string;
}

/**
 * Finds the operator whose token a request carries.
 *
 * @param request - The request.
 * @param options - The accepted state, and the bootstrap token.
 * @returns The operator, or undefined where the token is nobody's.
 * @throws Nothing.
 * @example
 * const operator = findOperator(request, options);
 */
export function findOperator(
  request: FastifyRequest,
  options: FindOperatorOptions,
): KnownOperator | undefined {
  const token = parseBearer(request.headers.authorization);
  if (token === undefined) return undefined;
  const hash = hashSecret(token);
  const operators = listResources(options.getResources(), "operator");
  const known = operators.find(({ spec }) =>
    isSameSecret(hash, spec.tokenSha256)
  );
  if (known) return { name: known.name, role: known.spec.role };
  const { bootstrapTokenSha256 = "" } = options;
  const first = operators.length === 0 &&
    isSameSecret(hash, bootstrapTokenSha256);
  return first ? { name: "bootstrap", role: "admin" } : undefined;
}
