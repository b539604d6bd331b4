/**
 * Types for the choice of upstreams.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";

/** An entry's view of one upstream. */
export interface UpstreamView {
  readonly name: string;
  /** Work per second: requests, or layers times tokens. */
  readonly speedPerS: number;
  /** Network round-trip time, in ms. */
  readonly roundTripMs: number;
  /** This entry's own requests in flight there. */
  readonly inFlight: number;
  /** Share of the upstream that this entry may use, from 0 to 1. */
  readonly share: number;
  /** Time, in ms, at which this entry learned of it; new upstreams get a slow start. */
  readonly knownSinceMs: number;
  /** Time, in ms, until which it is ejected after failures. */
  readonly ejectedUntilMs: number;
  /** Time, in ms, until which it asked for no new work; absent if it did not ask. */
  readonly backOffUntilMs?: number;
  /** Whether it accepts no new work, because it is leaving, drained or missing. */
  readonly closed: boolean;
  /** Layers that it holds; absent in a service without a layered model. */
  readonly layers?: LayerRange;
}

/** Options of the choice of upstreams. */
export interface RoutingOptions {
  readonly nowMs: number;
  /** A number in [0, 1). */
  readonly random: number;
  /** Upstreams that were already tried, used only if there is no other. */
  readonly exclude?: ReadonlySet<string>;
  /**
   * Fraction of the request's work, from 0 to 1, that an upstream saves because
   * it has the request's prefix cached; 0 by default.
   */
  readonly getReusedFraction?: (name: string) => number;
}
