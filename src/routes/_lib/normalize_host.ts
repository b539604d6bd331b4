/**
 * Normalizes host names.
 *
 * @module
 */

/**
 * Removes the port from a host name and converts it to lower case.
 *
 * @param host - The name as given in a Host header or a route.
 * @returns The normalized name, as used in lookups.
 * @throws Nothing.
 * @example
 * normalizeHost("A.example:80"); // "a.example"
 */
export function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, "");
}
