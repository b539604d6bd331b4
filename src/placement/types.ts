/**
 * What placement works on: engines, a model, and where its layers are.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";

/** An engine that can hold a range of layers. */
export interface PlacementEngine {
  readonly name: string;
  /** Layers times tokens that it runs in a second. */
  readonly layersPerS: number;
  /** Layers of the model that its memory holds. */
  readonly maxLayers: number;
  /** Tokens a second that its link carries. */
  readonly linkTokensPerS: number;
}

/** The layers that an engine holds. */
export interface LayerAssignment {
  readonly upstream: string;
  readonly layers: LayerRange;
}

/** A placement and what it can carry. */
export interface Placement {
  readonly assignments: readonly LayerAssignment[];
  /** Tokens a second that it can carry: the max flow over its stages. */
  readonly flowPerS: number;
  /** Tokens a second that no placement on these engines can exceed. */
  readonly boundPerS: number;
}
