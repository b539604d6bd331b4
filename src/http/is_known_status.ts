/**
 * Tells status codes from other numbers in their place.
 *
 * @module
 */

const FIRST_STATUS = 100;
const LAST_STATUS = 599;

/**
 * Checks whether a number is a status code of the protocol. The HTTP library reads any
 * number of three digits.
 *
 * @param status - The number in the place of a status.
 * @returns Whether the protocol knows its class.
 * @throws Nothing.
 * @example
 * if (!isKnownStatus(status)) abort("unknown status");
 */
export function isKnownStatus(status: number): boolean {
  return status >= FIRST_STATUS && status <= LAST_STATUS;
}
