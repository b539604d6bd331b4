/**
 * Problem documents: the format of rejections and errors for callers.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import { HEADERS, type Outcome } from "../model/index.ts";

/** A problem document, sent as `application/problem+json`. */
export interface Problem {
  readonly status: number;
  /** A reason from the catalogue in docs/METRICS.md. */
  readonly reason: string;
  readonly detail: string;
  readonly outcome: Outcome;
  /** Seconds after which the caller may retry. */
  readonly retryAfterS?: number;
  /** Additional fields of the document. */
  readonly extra?: Readonly<Record<string, unknown>>;
}

/** The problem document for unexpected errors. */
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
 * Sends a problem document as the response.
 *
 * @param reply - The reply; nothing of it may have been sent yet.
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
