/**
 * Decides whether a request is admitted, and to which service it goes.
 *
 * @module
 */

import type { RefusalReason } from "../metrics/index.ts";
import { chooseTarget, type RouteTable } from "../routes/index.ts";
import type { CallerRequest, Refusal } from "./protocol.ts";
import type { Call } from "./types.ts";

/** What the decision depends on. */
export interface DecideCallOptions {
  /** The current configuration; undefined until the first one arrives. */
  readonly table: RouteTable | undefined;
  /** Whether the leader has sent the list of upstreams. */
  readonly knowsEngines: boolean;
  /** Whether the lease on the configuration is valid. */
  readonly isTrusted: boolean;
  /** Whether the process is stopping and admits no new requests. */
  readonly isDraining: boolean;
  /** A number in [0, 1). */
  readonly random: number;
}

/** The decision. */
export type CallDecision =
  | {
    readonly type: "serve";
    readonly call: Pick<Call, "route" | "account" | "service">;
  }
  | { readonly type: "refuse"; readonly refusal: Refusal };

/** Retry-after, in ms, of a request that this gateway can't serve at present. */
const NOT_READY_RETRY_MS = 300;

/**
 * Decides about a request. A gateway whose lease has expired doesn't answer that a
 * route or a key is unknown: its configuration may be out of date.
 *
 * @param request - The request.
 * @param options - The configuration and whether its lease is valid.
 * @returns The route, account and service of the request, or the refusal.
 * @throws Nothing.
 * @example
 * const decision = decideCall(request, options);
 */
export function decideCall(
  request: Pick<CallerRequest, "host" | "path" | "key">,
  options: DecideCallOptions,
): CallDecision {
  const { table, isTrusted } = options;
  if (options.isDraining) return refuseTemporarily("leaving");
  if (!table || !options.knowsEngines) return refuseTemporarily("no_config");
  const route = table.findRoute(request.host, request.path);
  if (!route) {
    return isTrusted
      ? refuse(404, "not_found")
      : refuseTemporarily("stale_config");
  }
  const service = chooseTarget(route, options.random);
  const account = request.key === undefined
    ? undefined
    : table.findAccount(request.key);
  const call = { route, account, service };
  if (!table.needsKeys || route.isAnonymous) return { type: "serve", call };
  if (!isTrusted) return refuseTemporarily("stale_config");
  if (!account) return refuse(401, "unknown_key");
  return { type: "serve", call };
}

function refuse(status: number, reason: RefusalReason): CallDecision {
  return { type: "refuse", refusal: { status, reason } };
}

function refuseTemporarily(reason: RefusalReason): CallDecision {
  const retryAfterMs = NOT_READY_RETRY_MS;
  return { type: "refuse", refusal: { status: 503, reason, retryAfterMs } };
}
