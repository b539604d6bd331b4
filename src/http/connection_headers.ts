/**
 * Hop-by-hop headers.
 *
 * @module
 */

/**
 * Headers, in lower case, that an intermediary must not forward: those of the
 * connection and of the message framing. See RFC 9110, 7.6.1.
 */
export const CONNECTION_HEADERS: readonly string[] = [
  "connection",
  "keep-alive",
  "proxy-authenticate",
  "proxy-authorization",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
  "content-length",
  "expect",
];
