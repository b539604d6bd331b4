/**
 * Sends a request as a caller, for the demo and the tests.
 *
 * @module
 */

import { request } from "undici";
import { ACCOUNT_KEY } from "./trial_resources.ts";

/** The answer of an entry. */
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

/** Sends a request with the API key of the demo's client account. */
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
