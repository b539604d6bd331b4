/**
 * The configuration that is in force at a gateway.
 *
 * @module
 */

import {
  type DecodeConfig,
  getConfigDigest,
  type LeaderMessage,
  unpackDocument,
} from "../fleet/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  applyConfigChange,
  createRouteTable,
  type RouteConfig,
  type RouteTable,
} from "../routes/index.ts";

/** What the configuration needs of its gateway. */
export interface CreateHeldConfigOptions {
  readonly decodeConfig: DecodeConfig;
  /** Called when another configuration is in force. */
  readonly onChange: (table: RouteTable) => void;
  /** Called when a change doesn't fit: the whole configuration is wanted. */
  readonly onUnfit: () => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "timing">;
}

/** The configuration that is in force. */
export interface HeldConfig {
  /** Takes a whole configuration. */
  take(message: LeaderMessage & { type: "config" }): void;
  /** Takes the change from an earlier configuration to a newer one. */
  takeChange(message: LeaderMessage & { type: "configChange" }): void;
  /** Undefined before the first one. */
  getTable(): RouteTable | undefined;
  /** Version in force; -1 without any. */
  getVersion(): number;
  /** Version that a leader may tell changes of; -1 where the whole is wanted. */
  getToldVersion(): number;
}

/**
 * Makes the holder, without a configuration.
 *
 * @param options - How documents are decoded, and who hears of changes.
 * @returns The holder.
 * @throws Nothing.
 * @example
 * const config = createHeldConfig({ decodeConfig, onChange, onUnfit, log });
 */
export function createHeldConfig(options: CreateHeldConfigOptions): HeldConfig {
  const { now, log, metrics } = options;
  let held:
    | { config: RouteConfig; digest: string; table: RouteTable }
    | undefined;
  let isWholeWanted = false;
  const getVersion = () => held?.table.version ?? -1;

  function put(
    version: number,
    read: () => { config: RouteConfig; digest: string },
  ): void {
    isWholeWanted = false;
    // Whatever a late leader says: within one life nothing goes back.
    if (version <= getVersion()) return;
    const startedMs = now();
    const { config, digest } = read();
    const table = createRouteTable(config);
    held = { config, digest, table };
    options.onChange(table);
    const tookMs = Math.round(now() - startedMs);
    metrics.timing("config.apply_ms", tookMs);
    log("configApplied", { version, routes: config.routes.length, tookMs });
  }

  return {
    take({ version, packed }) {
      put(version, () => ({
        config: options.decodeConfig(unpackDocument(packed)),
        digest: getConfigDigest(packed),
      }));
    },
    takeChange({ version, digest, fromDigest, change }) {
      if (version <= getVersion()) return;
      if (held?.digest !== fromDigest) {
        log("configChangeUnfit", { version, held: getVersion() });
        isWholeWanted = true;
        return options.onUnfit();
      }
      const from = held.config;
      put(version, () => ({ config: applyConfigChange(from, change), digest }));
    },
    getTable: () => held?.table,
    getVersion,
    getToldVersion: () => isWholeWanted ? -1 : getVersion(),
  };
}
