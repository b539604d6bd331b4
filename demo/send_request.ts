/**
 * Sends a request as a caller would, for the demo and the tests.
 *
 * @module
 */

import { request } from "undici";
import { ACCOUNT_KEY } from "./trial_resources.ts";

/** What an entry answered. */
export interface Answer {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly trailers: Readonly<Record<string, string>>;
  readonly text: string;
}

/** Options of {@link send}. */
export interface SendOptions {
  readonly method?: "GET" | "POST";
  readonly body?: string;
  readonly headers?: Readonly<Record<string, string>>;
}

/** Sends a request with the trial's key. */
export async function send(
  url: string,
  options: SendOptions = {},
): Promise<Answer> {
  const { method = "GET", body, headers = {} } = options;
  const response = await request(url, {
    method,
    headers: { authorization: `Bearer ${ACCOUNT_KEY}`, ...headers },
    body,
  });
  const text = await response.body.text();
  const { statusCode: status, trailers } = response;
  return { status, headers: response.headers, trailers, text };
}
