/**
 * Key that identifies a route.
 *
 * @module
 */

import { normalizeHost } from "./_lib/normalize_host.ts";
import type { Route } from "./schemas.ts";

/**
 * Gets the key of a route: two routes with the same key match the same requests.
 *
 * @param route - The route.
 * @returns The key.
 * @throws Nothing.
 * @example
 * getRouteKey({ host: "A.example", pathPrefix: "/x/" }); // "a.example /x/"
 */
export function getRouteKey(
  { host, pathPrefix }: Pick<Route, "host" | "pathPrefix">,
): string {
  return `${normalizeHost(host)} ${pathPrefix}`;
}
