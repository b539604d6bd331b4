/**
 * Reads a caller's request: its account, service and headers.
 *
 * @module
 */

import type { FastifyRequest } from "fastify";
import { hashSecret, parseBearer, type Problem } from "../http/index.ts";
import { REFUSAL_REASONS, type RefusalReason } from "../metrics/index.ts";
import { HEADERS, type Resource } from "../model/index.ts";
import { getResourceKey, type ResourceState } from "../resources/index.ts";
import { RequestProblemError } from "./entry_error.ts";

/** Time, in ms, that a request gets where nothing else is said. */
export const DEFAULT_TIMEOUT_MS = 60_000;

/** Longest time, in ms, that a caller may ask for. */
export const MAX_TIMEOUT_MS = 3_600_000;

/** Priority where nothing else is said. */
export const DEFAULT_PRIORITY = 5;

/** Longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 200;

/** Client accounts by the SHA-256 of each of their keys. */
export type AccountIndex = ReadonlyMap<string, Resource<"clientAccount">>;

/**
 * Makes the index of client accounts by key.
 *
 * A key is looked up by its SHA-256, so the time taken tells nothing about it.
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
 * @throws {RequestProblemError} Where the key is missing or unknown.
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
 * @param options - The accepted state and the type that is wanted.
 * @returns The service.
 * @throws {RequestProblemError} Where there is none of that type.
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

/** What a caller's headers say. */
export interface RequestTerms {
  readonly repeatable: boolean;
  readonly idempotencyKey: string | undefined;
  readonly timeoutMs: number;
  readonly priority: number;
}

/**
 * Reads what a caller's headers say of a request.
 *
 * @param request - The request.
 * @param service - The service, whose defaults hold where they say nothing.
 * @returns The terms.
 * @throws {RequestProblemError} Where a header makes no sense.
 * @example
 * const { deadlineMs } = readTerms(request, service);
 */
export function readTerms(
  request: FastifyRequest,
  service: Resource<"service">,
): RequestTerms {
  const { spec } = service;
  const said = readHeader(request, HEADERS.repeatable);
  if (said !== undefined && said !== "true" && said !== "false") {
    throw badHeader(HEADERS.repeatable, "true or false");
  }
  const repeatable = said === undefined
    ? spec.repeatable ?? isSafeMethod(request.method)
    : said === "true";
  const idempotencyKey = readHeader(request, HEADERS.idempotencyKey);
  if (idempotencyKey !== undefined && idempotencyKey.length > MAX_KEY_LENGTH) {
    throw badHeader(
      HEADERS.idempotencyKey,
      `${MAX_KEY_LENGTH} characters at most`,
    );
  }
  const timeoutMs = readInteger(request, {
    header: HEADERS.deadlineMs,
    most: MAX_TIMEOUT_MS,
    least: 1,
  }) ?? spec.timeoutMs ?? DEFAULT_TIMEOUT_MS;
  const declared = spec.priority ?? DEFAULT_PRIORITY;
  const asked = readInteger(request, {
    header: HEADERS.priority,
    least: 0,
    most: 9,
  });
  // A caller may step back behind others, not in front of them.
  const priority = Math.min(declared, asked ?? declared);
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
  range: { header: string; least: number; most: number },
): number | undefined {
  const { header, least, most } = range;
  const text = readHeader(request, header);
  if (text === undefined) return undefined;
  const value = Number(text);
  const fits = Number.isInteger(value) && value >= least && value <= most;
  if (!fits) throw badHeader(header, `a whole number from ${least} to ${most}`);
  return value;
}

function badHeader(header: string, allowed: string): Error {
  return makeRefusal("bad_request", {
    status: 400,
    detail: `Header ${header} must be ${allowed}`,
  });
}

/**
 * Makes a refusal of a request that did not run.
 *
 * @param reason - Why.
 * @param options - The HTTP status, and words of its own.
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
