/**
 * Gauges of a gateway.
 *
 * @module
 */

import type { Metrics } from "../metrics/index.ts";
import type { ConfigLease } from "./create_config_lease.ts";
import type { EngineTable } from "./create_engine_table.ts";
import type { ActiveConfig } from "./create_active_config.ts";
import type { RequestHandler } from "./create_request_handler.ts";
import type { ServingContext } from "./types.ts";

/** Sources of the gauges. */
export interface StartGaugesOptions
  extends Pick<ServingContext, "notices" | "rateLimits" | "quarantine"> {
  readonly metrics: Pick<Metrics, "gauge">;
  readonly requestHandler: Pick<RequestHandler, "getInFlight">;
  readonly config: Pick<ActiveConfig, "getTable" | "getVersion">;
  readonly lease: Pick<ConfigLease, "getLeftMs">;
  readonly engines: Pick<
    EngineTable,
    "countLeftOut" | "get" | "getSize" | "listServices"
  >;
}

/** Interval between updates. */
const GAUGE_INTERVAL_MS = 2_000;

/**
 * Updates the gauges at an interval until the returned object is disposed of.
 *
 * @param options - The sources of the gauges.
 * @returns A disposable that stops the updates.
 * @throws Nothing.
 * @example
 * using gauges = startGauges(options);
 */
export function startGauges(options: StartGaugesOptions): Disposable {
  const { metrics, engines, notices, rateLimits, quarantine } = options;

  function countRankedServices(): number {
    const table = options.config.getTable();
    return engines.listServices().filter((service) =>
      (table?.listPriorities(service).length ?? 0) > 1
    ).length;
  }

  function setGauges(): void {
    metrics.gauge("requests.in_flight", options.requestHandler.getInFlight());
    metrics.gauge("config.revision", options.config.getVersion());
    metrics.gauge("admission.ranked_services", countRankedServices());
    metrics.gauge("config.lease_ms", Math.max(0, options.lease.getLeftMs()));
    metrics.gauge("engines.known", engines.getSize());
    metrics.gauge("engines.left_out", engines.countLeftOut().leftOut);
    metrics.gauge("engines.resting", notices.countBackedOff());
    const limited = rateLimits.listLimited().filter(engines.get);
    metrics.gauge("engines.limited", limited.length);
    const { suspects, held } = quarantine.count();
    metrics.gauge("quarantine.suspects", suspects);
    metrics.gauge("quarantine.held", held);
  }

  const timer = setInterval(setGauges, GAUGE_INTERVAL_MS);
  return { [Symbol.dispose]: () => clearInterval(timer) };
}
