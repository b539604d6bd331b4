/**
 * Reads how many requests a second the sender of an answer takes.
 *
 * @module
 */

/** What a field line may hold: a decimal number without a sign. */
const DECIMAL = /^\d{1,9}(\.\d{1,9})?$/;

/**
 * Reads a field that names a rate limit. Where it stands more than once the smallest
 * limit holds: whoever named a larger one gets no more than it takes either.
 *
 * @param value - The field as it came, one text a line.
 * @returns Requests a second; Infinity where no limit is named, undefined where what
 * is named can't be read.
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
