/**
 * Final answers of the gateway's own.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { CallerCodec, CallerRequest, Refusal } from "./protocol.ts";

/** Who is refused, and how. */
export interface AnswerRefusalOptions {
  readonly codec: CallerCodec;
  readonly request: CallerRequest | undefined;
  readonly refusal: Refusal;
  /** Whether the connection ends with this answer. */
  readonly closes?: boolean;
}

/**
 * Answers a request with a refusal or a failure, at once.
 *
 * @param response - The caller's response.
 * @param options - Who is refused, and how.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * answerRefusal(response, { codec, request, refusal });
 */
export function answerRefusal(
  response: ServerResponse,
  options: AnswerRefusalOptions,
): void {
  const { codec, request, refusal, closes = false } = options;
  if (response.headersSent || response.destroyed) {
    // A begun answer must not look complete.
    response.destroy();
    return;
  }
  const text = `${JSON.stringify({ error: refusal.reason })}\n`;
  response.writeHead(refusal.status, {
    ...codec.formatRefusalHeaders(refusal, request),
    "content-type": "application/json",
    "content-length": String(text.length),
    ...(closes ? { connection: "close" } : {}),
  });
  response.end(text);
}
