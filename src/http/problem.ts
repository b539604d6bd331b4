/**
 * Problem documents: how every refusal and error looks to a caller.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import { HEADERS, type Outcome } from "../model/index.ts";

/** A problem as it is sent: `application/problem+json`. */
export interface Problem {
  readonly status: number;
  /** A reason from the catalogue in docs/METRICS.md. */
  readonly reason: string;
  readonly detail: string;
  readonly outcome: Outcome;
  /** Seconds after which to come back. */
  readonly retryAfterS?: number;
  /** Further fields of the document. */
  readonly extra?: Readonly<Record<string, unknown>>;
}

/** What is sent where something unexpected happened. */
export const INTERNAL_PROBLEM: Problem = {
  status: 500,
  reason: "internal",
  detail: "Unexpected error",
  outcome: "unknown",
};

/** Media type of problem documents. */
export const PROBLEM_TYPE = "application/problem+json";

/**
 * Formats a problem document.
 *
 * @param problem - The problem.
 * @returns The document.
 * @throws Nothing.
 * @example
 * const text = formatProblem(problem);
 */
export function formatProblem(problem: Problem): string {
  const { status, reason, detail, outcome, retryAfterS, extra } = problem;
  return JSON.stringify({
    type: `urn:crowlever:problem:${reason}`,
    title: detail,
    status,
    reason,
    outcome,
    ...(retryAfterS === undefined ? {} : { retryAfterS }),
    ...extra,
  });
}

/**
 * Sends a problem at once.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param problem - The problem.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendProblem(reply, problem);
 */
export function sendProblem(
  reply: FastifyReply,
  problem: Problem,
): FastifyReply {
  reply.code(problem.status)
    .header(HEADERS.outcome, problem.outcome)
    .header(HEADERS.reason, problem.reason)
    .type(PROBLEM_TYPE);
  if (problem.retryAfterS !== undefined) {
    reply.header("retry-after", String(Math.ceil(problem.retryAfterS)));
  }
  return reply.send(formatProblem(problem));
}
