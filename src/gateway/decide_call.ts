/**
 * Decides whether a request is let in, and where it belongs.
 *
 * @module
 */

import type { RefusalReason } from "../metrics/index.ts";
import { chooseTarget, type RouteTable } from "../routes/index.ts";
import type { CallerRequest, Refusal } from "./protocol.ts";
import type { Call } from "./types.ts";

/** What the decision goes by. */
export interface DecideCallOptions {
  /** The configuration in force; undefined before the first. */
  readonly table: RouteTable | undefined;
  /** Whether the leader has told which upstreams there are. */
  readonly knowsEngines: boolean;
  /** Whether the lease on the configuration runs. */
  readonly isTrusted: boolean;
  /** Whether no new request is let in, since the process stops. */
  readonly isLastCall: boolean;
  /** A number in [0, 1). */
  readonly random: number;
}

/** What was decided. */
export type CallDecision =
  | {
    readonly type: "serve";
    readonly call: Pick<Call, "route" | "account" | "service">;
  }
  | { readonly type: "refuse"; readonly refusal: Refusal };

/** Ms after which a caller may come again where this gateway can't serve. */
const NOT_READY_RETRY_MS = 300;

/**
 * Decides about a request. A gateway whose lease has run out says neither that
 * a route nor that a key does not exist: it can't know.
 *
 * @param request - The request.
 * @param options - The configuration and how far it may be trusted.
 * @returns Where the request belongs, or the refusal.
 * @throws Nothing.
 * @example
 * const decision = decideCall(request, options);
 */
export function decideCall(
  request: Pick<CallerRequest, "host" | "path" | "key">,
  options: DecideCallOptions,
): CallDecision {
  const { table, isTrusted } = options;
  if (options.isLastCall) return refuseForNow("leaving");
  if (!table || !options.knowsEngines) return refuseForNow("no_config");
  const route = table.findRoute(request.host, request.path);
  if (!route) {
    return isTrusted ? refuse(404, "not_found") : refuseForNow("stale_config");
  }
  const service = chooseTarget(route, options.random);
  const account = request.key === undefined
    ? undefined
    : table.findAccount(request.key);
  const call = { route, account, service };
  if (!table.needsKeys || route.isAnonymous) return { type: "serve", call };
  if (!isTrusted) return refuseForNow("stale_config");
  if (!account) return refuse(401, "unknown_key");
  return { type: "serve", call };
}

function refuse(status: number, reason: RefusalReason): CallDecision {
  return { type: "refuse", refusal: { status, reason } };
}

function refuseForNow(reason: RefusalReason): CallDecision {
  const retryAfterMs = NOT_READY_RETRY_MS;
  return { type: "refuse", refusal: { status: 503, reason, retryAfterMs } };
}
