/**
 * What a gateway's gauges tell.
 *
 * @module
 */

import type { Metrics } from "../metrics/index.ts";
import type { ConfigLease } from "./create_config_lease.ts";
import type { EngineTable } from "./create_engine_table.ts";
import type { HeldConfig } from "./create_held_config.ts";
import type { RequestDesk } from "./create_request_desk.ts";
import type { ServingContext } from "./types.ts";

/** What the gauges look at. */
export interface StartGaugesOptions
  extends Pick<ServingContext, "notices" | "rateLimits" | "quarantine"> {
  readonly metrics: Pick<Metrics, "gauge">;
  readonly desk: Pick<RequestDesk, "getInFlight">;
  readonly config: Pick<HeldConfig, "getVersion">;
  readonly lease: Pick<ConfigLease, "getLeftMs">;
  readonly engines: Pick<EngineTable, "get" | "getSize">;
}

/** Ms between two looks. */
const INTERVAL_MS = 2_000;

/**
 * Sets the gauges until what it returns is disposed of.
 *
 * @param options - What the gauges look at.
 * @returns What ends it.
 * @throws Nothing.
 * @example
 * using gauges = startGauges(options);
 */
export function startGauges(options: StartGaugesOptions): Disposable {
  const { metrics, engines, notices, rateLimits, quarantine } = options;

  function setGauges(): void {
    metrics.gauge("requests.in_flight", options.desk.getInFlight());
    metrics.gauge("config.revision", options.config.getVersion());
    metrics.gauge("config.lease_ms", Math.max(0, options.lease.getLeftMs()));
    metrics.gauge("engines.known", engines.getSize());
    metrics.gauge("engines.resting", notices.countBackedOff());
    const limited = rateLimits.listLimited().filter(engines.get);
    metrics.gauge("engines.limited", limited.length);
    const { suspects, held } = quarantine.count();
    metrics.gauge("quarantine.suspects", suspects);
    metrics.gauge("quarantine.held", held);
  }

  const timer = setInterval(setGauges, INTERVAL_MS);
  return { [Symbol.dispose]: () => clearInterval(timer) };
}
