/**
 * The most recently accepted configurations, with a cache of decoded ones.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import type { RouteConfig } from "../routes/index.ts";
import type { AcceptedConfig } from "./create_fleet_state_machine.ts";
import type { DecodeConfig } from "./messages.ts";
import { unpackDocument } from "./pack_document.ts";

/** Options of {@link createConfigHistory}. */
export interface CreateConfigHistoryOptions {
  readonly decodeConfig: DecodeConfig;
}

/** The most recently accepted configurations. */
export interface ConfigHistory {
  /** Adds an accepted configuration. */
  add(accepted: AcceptedConfig): void;
  /** Gets a version; undefined if it was never added or has been evicted. */
  get(version: number): AcceptedConfig | undefined;
  /**
   * Decodes a packed configuration, or returns it from the cache; throws if it can't be
   * decoded.
   */
  read(packed: string): RouteConfig;
}

/**
 * Number of versions kept. A gateway whose version is among them receives only the
 * change, others the full configuration.
 */
const MAX_VERSIONS = 16;

/** Number of decoded configurations in the cache. */
const MAX_DECODED = 4;

/**
 * Creates an empty history.
 *
 * @param options - The decoder of configurations.
 * @returns The history.
 * @throws Nothing.
 * @example
 * const history = createConfigHistory({ decodeConfig });
 */
export function createConfigHistory(
  options: CreateConfigHistoryOptions,
): ConfigHistory {
  const versions = new Map<number, AcceptedConfig>();
  const decoded = new Map<string, RouteConfig>();

  function cacheDecoded(packed: string, config: RouteConfig): RouteConfig {
    decoded.delete(packed);
    decoded.set(packed, config);
    evictOldest(decoded, MAX_DECODED);
    return config;
  }

  return {
    add({ version, packed }) {
      versions.set(version, { version, packed });
      evictOldest(versions, MAX_VERSIONS);
    },
    get: (version) => versions.get(version),
    read: (packed) =>
      cacheDecoded(
        packed,
        decoded.get(packed) ?? options.decodeConfig(unpackDocument(packed)),
      ),
  };
}
