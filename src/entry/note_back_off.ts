/**
 * Notes that an upstream asks for a back-off.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { UpstreamTable } from "./create_upstream_table.ts";

/** Where it is noted and told. */
export interface NoteBackOffOptions {
  readonly table: Pick<UpstreamTable, "takeBackOff">;
  readonly metrics: Pick<Metrics, "count">;
  readonly log: Logger;
}

/**
 * Notes that an upstream asks for a back-off. It works: it is left alone for as long as it
 * wants, and not for a time of this entry's own.
 *
 * @param upstream - Its name.
 * @param backOffMs - Ms for which it wants no new work.
 * @param options - Where it is noted and told.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * noteBackOff(upstream, backOffMs, { table, metrics, log });
 */
export function noteBackOff(
  upstream: string,
  backOffMs: number,
  { table, metrics, log }: NoteBackOffOptions,
): void {
  table.takeBackOff(upstream, backOffMs);
  metrics.count("engines.rests_asked");
  log("engineAsksForBackOff", { engineId: upstream, backOffMs });
}
