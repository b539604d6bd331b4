/**
 * Reads from the head of a response how its body ends.
 *
 * @module
 */

/** The head of a response. */
export interface FramedHead {
  readonly status: number;
  /** Fields, with names in lower case. */
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  /** Method of the request; by default one whose response may have a body. */
  readonly method?: string;
}

/** How the body of a response ends, and whether it can be forwarded. */
export interface ResponseFraming {
  /** Whether the body ends with the connection, as it has neither length nor chunks. */
  readonly endsWithConnection: boolean;
  /** Whether the body has a transfer coding other than chunks; none was requested. */
  readonly isCoded: boolean;
}

/** Statuses of responses that end with their head. */
const EMPTY_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Codings that change no byte of the body; `identity` is of RFC 2616, 3.6. */
const PLAIN_CODINGS: ReadonlySet<string> = new Set(["chunked", "identity"]);

/**
 * Reads the framing of a response (RFC 9112, 6.3). A transfer coding belongs to one
 * connection only, so a body that has one is not the body that its sender meant.
 *
 * @param head - The head of the response, and the method of its request.
 * @returns How the body ends, and whether it is coded.
 * @throws Nothing.
 * @example
 * const { endsWithConnection } = readFraming({ status: 200, headers: {} });
 */
export function readFraming(
  { status, headers, method }: FramedHead,
): ResponseFraming {
  const codings = [headers["transfer-encoding"] ?? []].flat().join()
    .toLowerCase().split(",").map((coding) => coding.trim())
    .filter((coding) => coding !== "");
  return {
    endsWithConnection: method !== "HEAD" && !EMPTY_STATUSES.has(status) &&
      headers["content-length"] === undefined && codings.at(-1) !== "chunked",
    isCoded: codings.some((coding) => !PLAIN_CODINGS.has(coding)),
  };
}
