/**
 * Gets the limits on connections from the settings.
 *
 * @module
 */

import type { ConnectionLimits } from "../http/index.ts";
import type { RequestLimitsSettings } from "../settings/index.ts";

/**
 * Gets the limits on the connections of callers.
 *
 * @param settings - The settings.
 * @returns The limits.
 * @throws Nothing.
 * @example
 * createCallerServer(onRequest, { limits: toConnectionLimits(requestLimits) });
 */
export function toConnectionLimits(
  settings: RequestLimitsSettings,
): ConnectionLimits {
  return {
    connections: settings.connections,
    requestsPerConnection: settings.requestsPerConnection,
    headBytes: settings.headMemoryBytes,
  };
}
