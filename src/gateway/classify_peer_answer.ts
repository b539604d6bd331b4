/**
 * Tells what a peer's answer to a forwarded request means.
 *
 * @module
 */

import type { ExchangeEnd } from "./create_upstream_transport.ts";
import type { UpstreamHead } from "./protocol.ts";

/** The end of an exchange with a peer. */
export interface PeerAnswer {
  readonly how: ExchangeEnd;
  readonly head: UpstreamHead | undefined;
  /** Text of an answer that the peer gave itself. */
  readonly text: string;
}

/**
 * What it means for the request; `wasSent` tells whether the peer sent it to an
 * upstream that rejected it.
 */
export type PeerAnswerMeaning =
  /** An upstream's whole answer. */
  | { readonly type: "answered" }
  /** It has not run, and another peer may take it. */
  | {
    readonly type: "notTaken";
    readonly reason: string;
    readonly wasSent: boolean;
  }
  /** It has not run, and other peers would refuse it as well. */
  | {
    readonly type: "refused";
    readonly retryAfterMs: number | undefined;
    readonly wasSent: boolean;
  }
  /** It may have run. */
  | { readonly type: "unknown"; readonly reason: string };

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * Statuses of a peer whose configuration is older or newer than this gateway's, which
 * has admitted the request.
 */
const NOT_ADMITTED_STATUSES: ReadonlySet<number> = new Set([401, 403, 404]);

/** Reasons that concern the peer, not the request or its service. */
const REASONS_OF_PEER: ReadonlySet<string> = new Set([
  "body_memory",
  "cut_off",
  "leaving",
  "no_config",
  "peer_limit",
  "stale_config",
]);

/**
 * Tells what a peer's answer means.
 *
 * @param answer - The end of the exchange, and the answer if there is one.
 * @returns Whether the request has run, and whether another peer may take it.
 * @throws Nothing.
 * @example
 * classifyPeerAnswer({ how: { type: "withheld" }, head: undefined, text: "" }).type;
 */
export function classifyPeerAnswer(answer: PeerAnswer): PeerAnswerMeaning {
  const { how, head, text } = answer;
  if (how.type === "notSent" || how.type === "withheld") {
    const reason = how.type === "notSent" ? how.reason : how.type;
    return { type: "notTaken", reason, wasSent: false };
  }
  if (how.type === "broken") return { type: "unknown", reason: how.reason };
  if (!head) return { type: "unknown", reason: "no answer" };
  if (head.isSigned) {
    return head.reportsNotRun
      ? { type: "notTaken", reason: "upstream did not run it", wasSent: true }
      : { type: "answered" };
  }
  const { reason, wasSent } = readRefusal(text);
  if (NOT_ADMITTED_STATUSES.has(head.status)) {
    return { type: "notTaken", reason, wasSent };
  }
  if (!NOT_RUN_STATUSES.has(head.status)) return { type: "unknown", reason };
  if (REASONS_OF_PEER.has(reason)) {
    return { type: "notTaken", reason, wasSent };
  }
  return { type: "refused", retryAfterMs: head.backOffMs, wasSent };
}

function readRefusal(text: string): { reason: string; wasSent: boolean } {
  try {
    const { error, sent } = JSON.parse(text) as {
      error?: unknown;
      sent?: unknown;
    };
    const reason = typeof error === "string" ? error : "";
    return { reason, wasSent: sent === true };
  } catch {
    return { reason: "", wasSent: false };
  }
}
