/**
 * Reads for how long an upstream that turned a request away wants no more.
 *
 * @module
 */

import { readRetryAfter } from "./read_retry_after.ts";

/** Status with which an upstream turns requests away and may ask for a back-off. */
const TURNED_AWAY = 503;

/** The head of an answer; names of fields in lower case. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/**
 * Reads for how long an upstream that turned a request away wants no more.
 *
 * @param answer - The head of its answer.
 * @returns Ms; undefined where it asks for no back-off.
 * @throws Nothing.
 * @example
 * readBackOffMs({ status: 503, headers: { "retry-after": "3" } }); // 3000
 */
export function readBackOffMs(
  { status, headers }: AnswerHead,
): number | undefined {
  if (status !== TURNED_AWAY) return undefined;
  const [date] = [headers.date].flat();
  return readRetryAfter(headers["retry-after"], { date });
}
