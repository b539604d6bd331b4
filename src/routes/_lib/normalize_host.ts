/**
 * Brings the name of a host into one form.
 *
 * @module
 */

/**
 * Drops the port and the case of a host's name.
 *
 * @param host - The name as it stands in a header or a route.
 * @returns The name that look-ups compare.
 * @throws Nothing.
 * @example
 * normalizeHost("A.example:80"); // "a.example"
 */
export function normalizeHost(host: string): string {
  return host.toLowerCase().replace(/:\d+$/, "");
}
