/**
 * Applies the back-off that an upstream asks for.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { UpstreamTable } from "./create_upstream_table.ts";

/** Options of {@link applyBackOff}. */
export interface ApplyBackOffOptions {
  readonly table: Pick<UpstreamTable, "setBackOff">;
  readonly metrics: Pick<Metrics, "count">;
  readonly log: Logger;
}

/**
 * Applies the back-off that an upstream asks for. The upstream is healthy, so it is not
 * ejected: it gets no new requests for exactly the time that it asked for.
 *
 * @param upstream - Name of the upstream.
 * @param backOffMs - Time, in ms, for which it accepts no new requests.
 * @param options - The upstream table, metrics and log.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * applyBackOff(upstream, backOffMs, { table, metrics, log });
 */
export function applyBackOff(
  upstream: string,
  backOffMs: number,
  { table, metrics, log }: ApplyBackOffOptions,
): void {
  table.setBackOff(upstream, backOffMs);
  metrics.count("engines.rests_asked");
  log("engineAsksForBackOff", { engineId: upstream, backOffMs });
}
