/**
 * The configurations that were accepted last, and what they say.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import type { RouteConfig } from "../routes/index.ts";
import type { AcceptedConfig } from "./create_fleet_machine.ts";
import type { DecodeConfig } from "./messages.ts";
import { unpackDocument } from "./pack_document.ts";

/** How configurations are decoded. */
export interface CreateConfigHistoryOptions {
  readonly decodeConfig: DecodeConfig;
}

/** The configurations that were accepted last. */
export interface ConfigHistory {
  /** Notes an accepted configuration. */
  note(accepted: AcceptedConfig): void;
  /** Gets a version; undefined where it was never noted or is forgotten. */
  get(version: number): AcceptedConfig | undefined;
  /**
   * Decodes a packed configuration; throws where it can't be read. What was decoded
   * lately is not decoded again.
   */
  read(packed: string): RouteConfig;
}

/**
 * Versions that are remembered: gateways that lag by no more than these are told
 * changes.
 */
const MAX_VERSIONS = 16;

/** Decoded configurations that are kept. */
const MAX_DECODED = 4;

/**
 * Makes the history, empty.
 *
 * @param options - How configurations are decoded.
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

  function keepDecoded(packed: string, config: RouteConfig): RouteConfig {
    decoded.delete(packed);
    decoded.set(packed, config);
    forgetOldest(decoded, MAX_DECODED);
    return config;
  }

  return {
    note({ version, packed }) {
      versions.set(version, { version, packed });
      forgetOldest(versions, MAX_VERSIONS);
    },
    get: (version) => versions.get(version),
    read: (packed) =>
      keepDecoded(
        packed,
        decoded.get(packed) ?? options.decodeConfig(unpackDocument(packed)),
      ),
  };
}
