/**
 * Headers that concern one connection only.
 *
 * @module
 */

/**
 * Headers, in lower case, that no intermediary passes on: those of the
 * connection and of the message's length. Source: RFC 9110, 7.6.1.
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
