/**
 * Parses `Retry-After` headers.
 *
 * @module
 */

/** Valid numbers of seconds; fractions are allowed. */
const SECONDS = /^\d{1,9}(\.\d{1,9})?$/;

const MS_PER_S = 1_000;

/**
 * Upper limit of a back-off, in ms. A wrong value must not take its sender out of
 * service for days: after an hour the sender is tried again.
 */
const MAX_BACK_OFF_MS = 3_600_000;

/**
 * Parses a `Retry-After` header. Seconds may have fractions; a date (RFC 9110,
 * 10.2.3) is relative to the response's own `Date`, so that the clock of this
 * machine does not matter. If there are several values, the longest time applies,
 * because it satisfies the others as well.
 *
 * @param value - The value of the header, one text for each header line.
 * @param options - The `Date` of the response, if it has one.
 * @returns Ms, rounded up, an hour at most; undefined if there is no positive valid
 * value.
 * @throws Nothing.
 * @example
 * readRetryAfter("1.5"); // 1500
 */
export function readRetryAfter(
  value: string | readonly string[] | undefined,
  options: { readonly date?: string } = {},
): number | undefined {
  if (value === undefined) return undefined;
  const lines = typeof value === "string" ? [value] : value;
  const timesMs = lines.flatMap((line) => parseTimes(line, options));
  const longestMs = Math.max(0, ...timesMs);
  return longestMs > 0 ? Math.min(longestMs, MAX_BACK_OFF_MS) : undefined;
}

// Several numbers may be joined by commas in one line. A date contains a comma
// itself, so the line is not split for it.
function parseTimes(line: string, { date }: { date?: string }): number[] {
  const seconds = line.split(",").map((part) => part.trim())
    .filter((part) => SECONDS.test(part))
    .map((part) => Math.ceil(Number(part) * MS_PER_S));
  if (seconds.length > 0 || date === undefined) return seconds;
  const gapMs = parseHttpDate(line) - parseHttpDate(date);
  return Number.isNaN(gapMs) ? [] : [gapMs];
}

/** The HTTP date format: `Sun, 06 Nov 1994 08:49:37 GMT`. */
const HTTP_DATE = /^[A-Z][a-z]{2}, \d{2} [A-Z][a-z]{2} \d{4} [\d:]{8} GMT$/;

function parseHttpDate(text: string): number {
  return HTTP_DATE.test(text.trim()) ? Date.parse(text) : NaN;
}
