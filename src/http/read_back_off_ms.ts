/**
 * Reads the back-off that an upstream asks for when it rejects a request.
 *
 * @module
 */

import { readRetryAfter } from "./read_retry_after.ts";

/** The status of a rejected request; with it, `Retry-After` asks for a back-off. */
const SERVICE_UNAVAILABLE = 503;

/** Status and headers of a response; header names in lower case. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
}

/**
 * Reads the back-off that an upstream asks for when it rejects a request.
 *
 * @param answer - Status and headers of its response.
 * @returns The back-off in ms; undefined if it asks for none.
 * @throws Nothing.
 * @example
 * readBackOffMs({ status: 503, headers: { "retry-after": "3" } }); // 3000
 */
export function readBackOffMs(
  { status, headers }: ResponseHead,
): number | undefined {
  if (status !== SERVICE_UNAVAILABLE) return undefined;
  const [date] = [headers.date].flat();
  return readRetryAfter(headers["retry-after"], { date });
}
