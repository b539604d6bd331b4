/**
 * Authenticates callers of the resource API.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { hashSecret, isSameHash, parseBearer } from "../http/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";

/** An operator who was authenticated by a token. */
export interface AuthenticatedOperator {
  readonly name: string;
  readonly role: "admin" | "viewer";
}

/** Options of {@link findOperator}. */
export interface FindOperatorOptions {
  readonly getResources: () => ResourceState;
  /** SHA-256 of the token that is valid until an operator is declared. */
  readonly bootstrapTokenSha256?: string;
}

/**
 * Finds the operator whose token a request carries.
 *
 * @param request - The request.
 * @param options - The accepted resources, and the bootstrap token's hash.
 * @returns The operator, or undefined if the token is missing or unknown.
 * @throws Nothing.
 * @example
 * const operator = findOperator(request, options);
 */
export function findOperator(
  request: FastifyRequest,
  options: FindOperatorOptions,
): AuthenticatedOperator | undefined {
  const token = parseBearer(request.headers.authorization);
  if (token === undefined) return undefined;
  const hash = hashSecret(token);
  const operators = listResources(options.getResources(), "operator");
  const match = operators.find(({ spec }) =>
    isSameHash(hash, spec.tokenSha256)
  );
  if (match) return { name: match.name, role: match.spec.role };
  const { bootstrapTokenSha256 = "" } = options;
  const isBootstrap = operators.length === 0 &&
    isSameHash(hash, bootstrapTokenSha256);
  return isBootstrap ? { name: "bootstrap", role: "admin" } : undefined;
}
