/**
 * The active configuration of a gateway.
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

/** Options of {@link createActiveConfig}. */
export interface CreateActiveConfigOptions {
  readonly decodeConfig: DecodeConfig;
  /** Called after another configuration became active. */
  readonly onChange: (table: RouteTable) => void;
  /** Called if a change has another base: the whole configuration is needed. */
  readonly onBaseMismatch: () => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "timing">;
}

/** The active configuration. */
export interface ActiveConfig {
  /** Applies a whole configuration. */
  applyFull(message: LeaderMessage & { type: "config" }): void;
  /** Applies the difference between an earlier configuration and a newer one. */
  applyChange(message: LeaderMessage & { type: "configChange" }): void;
  /** The route table; undefined before the first configuration. */
  getTable(): RouteTable | undefined;
  /** Active version; -1 if there is none. */
  getVersion(): number;
  /** Version that the leader may base changes on; -1 if it must send the whole. */
  getBaseVersion(): number;
}

/**
 * Creates the holder of the active configuration, without a configuration.
 *
 * @param options - The decoder of documents and the callbacks for changes.
 * @returns The holder.
 * @throws Nothing.
 * @example
 * const config = createActiveConfig(options);
 */
export function createActiveConfig(
  options: CreateActiveConfigOptions,
): ActiveConfig {
  const { now, log, metrics } = options;
  let active:
    | { config: RouteConfig; digest: string; table: RouteTable }
    | undefined;
  let needsWhole = false;
  const getVersion = () => active?.table.version ?? -1;

  function activate(
    version: number,
    read: () => { config: RouteConfig; digest: string },
  ): boolean {
    needsWhole = false;
    // An outdated leader must not bring back an older version in this process.
    if (version <= getVersion()) return true;
    const startedMs = now();
    let next: NonNullable<typeof active>;
    try {
      const { config, digest } = read();
      next = { config, digest, table: createRouteTable(config) };
    } catch (error) {
      // The active one stays, and the lease of an outdated one runs out.
      log("configUnreadable", { version, held: getVersion(), error });
      return false;
    }
    active = next;
    const { config, table } = next;
    options.onChange(table);
    const tookMs = Math.round(now() - startedMs);
    metrics.timing("config.apply_ms", tookMs);
    log("configApplied", { version, routes: config.routes.length, tookMs });
    return true;
  }

  function requestWhole(): void {
    needsWhole = true;
    options.onBaseMismatch();
  }

  return {
    applyFull({ version, packed }) {
      activate(version, () => ({
        config: options.decodeConfig(unpackDocument(packed)),
        digest: getConfigDigest(packed),
      }));
    },
    applyChange({ version, digest, fromDigest, change }) {
      if (version <= getVersion()) return;
      if (active?.digest !== fromDigest) {
        log("configChangeUnfit", { version, held: getVersion() });
        return requestWhole();
      }
      const from = active.config;
      const isActivated = activate(
        version,
        () => ({ config: applyConfigChange(from, change), digest }),
      );
      if (!isActivated) requestWhole();
    },
    getTable: () => active?.table,
    getVersion,
    getBaseVersion: () => needsWhole ? -1 : getVersion(),
  };
}
