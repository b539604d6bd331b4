/**
 * What an entry knows of the upstreams that it may choose from.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";

/** What an entry knows of one upstream. */
export interface UpstreamView {
  readonly name: string;
  /** Work that it does in a second: requests, or layers times tokens. */
  readonly speedPerS: number;
  /** Time, in ms, of one way there and back. */
  readonly roundTripMs: number;
  /** This entry's own requests in flight there. */
  readonly inFlight: number;
  /** Part of the upstream that this entry may count on, from 0 to 1. */
  readonly share: number;
  /** Time, in ms, since which it has been known; newcomers start slowly. */
  readonly knownSinceMs: number;
  /** Time, in ms, until which it is left out after failures. */
  readonly ejectedUntilMs: number;
  /** Time, in ms, until which it wants no new work; absent where it didn't say so. */
  readonly backOffUntilMs?: number;
  /** Whether it is leaving, drained, or missing: it takes no new work. */
  readonly closed: boolean;
  /** Layers that it holds; absent for a plain service. */
  readonly layers?: LayerRange;
}

/** Time and randomness of a choice, and its bounds. */
export interface RoutingOptions {
  readonly nowMs: number;
  /** A number in [0, 1). */
  readonly random: number;
  /** Upstreams that were tried already and are left out. */
  readonly exclude?: ReadonlySet<string>;
  /**
   * Part of the request's work that an upstream would be spared, from 0 to 1,
   * because it has its prefix; by default none.
   */
  readonly getSparedPart?: (name: string) => number;
}
