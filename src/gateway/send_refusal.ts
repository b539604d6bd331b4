/**
 * Final responses that the gateway itself generates.
 *
 * @module
 */

import type { ServerResponse } from "node:http";
import type { CallerCodec, CallerRequest, Refusal } from "./protocol.ts";

/** Which request is refused, and why. */
export interface SendRefusalOptions {
  readonly codec: CallerCodec;
  readonly request: CallerRequest | undefined;
  readonly refusal: Refusal;
  /** Whether the request was sent to an upstream; only told to other gateways. */
  readonly wasSent?: boolean;
  /** Whether the connection is closed after this response. */
  readonly closes?: boolean;
}

/**
 * Responds to a request with a refusal or a failure at once.
 *
 * @param response - The caller's response.
 * @param options - Which request is refused, and why.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * sendRefusal(response, { codec, request, refusal });
 */
export function sendRefusal(
  response: ServerResponse,
  options: SendRefusalOptions,
): void {
  const { codec, request, refusal, closes = false } = options;
  if (response.headersSent || response.destroyed) {
    // A partial response must not look complete.
    response.destroy();
    return;
  }
  const body = {
    error: refusal.reason,
    ...(options.wasSent ? { sent: true } : {}),
  };
  const text = `${JSON.stringify(body)}\n`;
  response.writeHead(refusal.status, {
    ...codec.formatRefusalHeaders(refusal, request),
    "content-type": "application/json",
    "content-length": String(text.length),
    ...(closes ? { connection: "close" } : {}),
  });
  response.end(text);
}
