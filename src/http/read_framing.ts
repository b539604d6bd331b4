/**
 * Reads from the head of a response how its body ends.
 *
 * @module
 */

/** How the body of a response ends, and whether it can be forwarded. */
export interface ResponseFraming {
  /** Whether the body ends with the connection, as it has neither length nor chunks. */
  readonly endsWithConnection: boolean;
  /** Whether the body has a transfer coding other than chunks; none was requested. */
  readonly isCoded: boolean;
}

/** Codings that change no byte of the body; `identity` is of RFC 2616, 3.6. */
const PLAIN_CODINGS: ReadonlySet<string> = new Set(["chunked", "identity"]);

/**
 * Reads the framing of a response (RFC 9112, 6.3). A transfer coding belongs to one
 * connection only, so a body that has one is not the body that its sender meant.
 *
 * @param headers - Fields of the response, with names in lower case.
 * @returns How the body ends, and whether it is coded.
 * @throws Nothing.
 * @example
 * const { endsWithConnection } = readFraming({ "content-length": "12" });
 */
export function readFraming(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): ResponseFraming {
  const codings = [headers["transfer-encoding"] ?? []].flat().join()
    .toLowerCase().split(",").map((coding) => coding.trim())
    .filter((coding) => coding !== "");
  return {
    endsWithConnection: headers["content-length"] === undefined &&
      codings.at(-1) !== "chunked",
    isCoded: codings.some((coding) => !PLAIN_CODINGS.has(coding)),
  };
}
