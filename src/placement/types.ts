/**
 * Input and result of the placement of layers.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";

/** An engine that can hold a range of layers. */
export interface PlacementEngine {
  readonly name: string;
  /** Layers per second that it runs, each for one token. */
  readonly layersPerS: number;
  /** Number of layers of the model that fit in its memory. */
  readonly maxLayers: number;
  /** Tokens per second that its network link can carry. */
  readonly linkTokensPerS: number;
}

/** The layers that an engine holds. */
export interface LayerAssignment {
  readonly upstream: string;
  readonly layers: LayerRange;
}

/** A placement and its flow. */
export interface Placement {
  readonly assignments: readonly LayerAssignment[];
  /** Tokens per second that it can process: the maximum flow through its stages. */
  readonly flowPerS: number;
  /** Upper bound, in tokens per second, on the flow of any placement on the engines. */
  readonly boundPerS: number;
}
