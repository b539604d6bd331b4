/**
 * Reads the client account, service and options of a caller's request.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { hashSecret, parseBearer, type Problem } from "../http/index.ts";
import { REFUSAL_REASONS, type RefusalReason } from "../metrics/index.ts";
import { HEADERS, type Resource } from "../model/index.ts";
import { getResourceKey, type ResourceState } from "../resources/index.ts";
import { RequestProblemError } from "./entry_error.ts";

/** Default timeout of a request, in ms. */
export const DEFAULT_TIMEOUT_MS = 60_000;

/** Longest timeout, in ms, that a caller may request. */
export const MAX_TIMEOUT_MS = 3_600_000;

/** Default priority of a service. */
export const DEFAULT_PRIORITY = 5;

/** Longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 200;

/** Client accounts by the SHA-256 hash of each of their keys. */
export type AccountIndex = ReadonlyMap<string, Resource<"clientAccount">>;

/**
 * Creates the index of client accounts by key.
 *
 * Keys are looked up by their SHA-256 hash, so the lookup time reveals nothing about
 * them.
 *
 * @param accounts - The client accounts.
 * @returns The index.
 * @throws Nothing.
 * @example
 * const index = createAccountIndex(accounts);
 */
export function createAccountIndex(
  accounts: readonly Resource<"clientAccount">[],
): AccountIndex {
  return new Map(
    accounts.flatMap((account) =>
      account.spec.keySha256.map((hash) => [hash, account] as const)
    ),
  );
}

/**
 * Finds the client account of a request.
 *
 * @param request - The request.
 * @param index - The client accounts.
 * @returns The account.
 * @throws {RequestProblemError} If the key is missing or unknown.
 * @example
 * const account = readAccount(request, index);
 */
export function readAccount(
  request: FastifyRequest,
  index: AccountIndex,
): Resource<"clientAccount"> {
  const key = parseBearer(request.headers.authorization);
  const account = key === undefined ? undefined : index.get(hashSecret(key));
  if (!account) throw makeRefusal("unknown_key", { status: 401 });
  return account;
}

/**
 * Finds a service.
 *
 * @param name - The name that the caller gave.
 * @param options - The accepted state and the required type.
 * @returns The service.
 * @throws {RequestProblemError} If there is no service of that name and type.
 * @example
 * const service = readService("drafting", { state, type: "model" });
 */
export function readService(
  name: string,
  options: { state: ResourceState; type?: "model" | "plain" },
): Resource<"service"> {
  const { state, type } = options;
  const found = state.resources.get(getResourceKey("service", name)) as
    | Resource<"service">
    | undefined;
  const fits = found && (type === undefined || found.spec.type === type);
  if (!fits) throw makeRefusal("unknown_service", { status: 404 });
  return found;
}

/** Options of a request, from its headers and the defaults of its service. */
export interface RequestOptions {
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
  readonly priority: number;
}

/**
 * Reads the options of a request from its headers.
 *
 * @param request - The request.
 * @param service - The service, whose defaults apply to missing headers.
 * @returns The options of the request.
 * @throws {RequestProblemError} If a header has an invalid value.
 * @example
 * const { timeoutMs } = readRequestOptions(request, service);
 */
export function readRequestOptions(
  request: FastifyRequest,
  service: Resource<"service">,
): RequestOptions {
  const { spec } = service;
  const declared = readHeader(request, HEADERS.repeatable);
  if (declared !== undefined && declared !== "true" && declared !== "false") {
    throw headerError(HEADERS.repeatable, "true or false");
  }
  const repeatable = declared === undefined
    ? spec.repeatable ?? isSafeMethod(request.method)
    : declared === "true";
  const idempotencyKey = readHeader(request, HEADERS.idempotencyKey);
  if (idempotencyKey !== undefined && idempotencyKey.length > MAX_KEY_LENGTH) {
    throw headerError(
      HEADERS.idempotencyKey,
      `${MAX_KEY_LENGTH} characters at most`,
    );
  }
  const timeoutMs = readInteger(request, {
    header: HEADERS.deadlineMs,
    max: MAX_TIMEOUT_MS,
    min: 1,
  }) ?? spec.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const servicePriority = spec.priority ?? DEFAULT_PRIORITY;
  const requested = readInteger(request, {
    header: HEADERS.priority,
    min: 0,
    max: 9,
  });
  // A caller may lower its priority but not raise it.
  const priority = Math.min(servicePriority, requested ?? servicePriority);
  return { repeatable, idempotencyKey, timeoutMs, priority };
}

function isSafeMethod(method: string): boolean {
  return method === "GET" || method === "HEAD";
}

function readHeader(
  request: FastifyRequest,
  header: string,
): string | undefined {
  const value = request.headers[header];
  return Array.isArray(value) ? value[0] : value;
}

function readInteger(
  request: FastifyRequest,
  range: { header: string; min: number; max: number },
): number | undefined {
  const { header, min, max } = range;
  const text = readHeader(request, header);
  if (text === undefined) return undefined;
  const value = Number(text);
  const fits = Number.isInteger(value) && value >= min && value <= max;
  if (!fits) throw headerError(header, `a whole number from ${min} to ${max}`);
  return value;
}

function headerError(header: string, allowed: string): Error {
  return makeRefusal("bad_request", {
    status: 400,
    detail: `Header ${header} must be ${allowed}`,
  });
}

/**
 * Creates the error that refuses a request before it runs.
 *
 * @param reason - Reason of the refusal.
 * @param options - HTTP status, and optionally a detail message and a retry-after time.
 * @returns The error to throw.
 * @throws Nothing.
 * @example
 * throw makeRefusal("leaving", { status: 503, retryAfterS: 1 });
 */
export function makeRefusal(
  reason: RefusalReason,
  options: { status: number; detail?: string; retryAfterS?: number },
): Error {
  const { status, detail = REFUSAL_REASONS[reason], retryAfterS } = options;
  const problem: Problem = {
    status,
    reason,
    detail,
    outcome: "not_run",
    retryAfterS,
  };
  return new RequestProblemError(detail, { props: { problem } });
}
