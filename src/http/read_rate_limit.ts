/**
 * Parses the rate limit that the sender of a response announces.
 *
 * @module
 */

/** Valid values: decimal numbers without a sign. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;

/**
 * Parses a rate limit header. If it has several values, the smallest limit applies,
 * because it satisfies the others as well.
 *
 * @param value - The value of the header, one text for each header line.
 * @returns Requests per second; Infinity if there is no such header, undefined if it
 * has no valid value.
 * @throws Nothing.
 * @example
 * readRateLimit("4.6"); // 4.6
 */
export function readRateLimit(
  value: string | readonly string[] | undefined,
): number | undefined {
  if (value === undefined) return Infinity;
  const limits = [value].flat()
    .flatMap((line) => line.split(","))
    .map((part) => part.trim())
    .filter((part) => DECIMAL.test(part))
    .map(Number);
  return limits.length > 0 ? Math.min(...limits) : undefined;
}
