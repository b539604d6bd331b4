/**
 * The configuration that is in force at a gateway.
 *
 * @module
 */

import {
  applyConfigDelta,
  type DecodeConfig,
  type LeaderMessage,
  unpackDocument,
} from "../fleet/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { createRouteTable, type RouteTable } from "../routes/index.ts";

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
  let table: RouteTable | undefined;
  // As the operator wrote it: changes are told of it.
  let document = "";
  let isWholeWanted = false;
  const getVersion = () => table?.version ?? -1;

  function put(version: number, read: () => string): void {
    isWholeWanted = false;
    // Whatever a late leader says: within one life nothing goes back.
    if (version <= getVersion()) return;
    const startedMs = now();
    const text = read();
    const config = options.decodeConfig(text);
    document = text;
    table = createRouteTable(config);
    options.onChange(table);
    const tookMs = Math.round(now() - startedMs);
    metrics.timing("config.apply_ms", tookMs);
    log("configApplied", {
      version: config.version,
      routes: config.routes.length,
      tookMs,
    });
  }

  return {
    take: ({ version, packed }) => put(version, () => unpackDocument(packed)),
    takeChange({ version, fromVersion, delta }) {
      const held = getVersion();
      if (version <= held) return;
      try {
        if (held !== fromVersion) throw new Error("From another version");
        put(version, () => applyConfigDelta(document, delta));
      } catch (error) {
        log("configChangeUnfit", { version, fromVersion, held, error });
        isWholeWanted = true;
        options.onUnfit();
      }
    },
    getTable: () => table,
    getVersion,
    getToldVersion: () => isWholeWanted ? -1 : getVersion(),
  };
}
