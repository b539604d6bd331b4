/**
 * Types shared by the modules that distribute a model's layers over engines.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";

/** An engine that may hold layers, as input to the planner. */
export interface LayerEngine {
  readonly engineId: string;
  readonly place: string;
  readonly memoryMb: number;
  /** Time of a token step on its accelerator card, relative to the fastest card. */
  readonly stepFactor: number;
  /** Layers that it holds or was ordered to load; undefined if there are none. */
  readonly range?: LayerRange;
  /** Whether it was ordered to load its range and has not yet reported it as loaded. */
  readonly isLoading?: boolean;
}

/** The layers that one engine runs on a path. */
export interface PathPart extends LayerRange {
  readonly engineId: string;
}

/** Size, expected load and step times of a model, used to place its layers. */
export interface ModelProfile {
  readonly layers: number;
  readonly layerMb: number;
  /** Bytes of KV cache per token, summed over all layers. */
  readonly kvTokenBytes: number;
  /** Concurrent requests that an engine accepts as the first engine of a path. */
  readonly slots: number;
  /** Mean number of tokens in a prompt. */
  readonly usualPromptTokens: number;
  /** Mean number of tokens in an answer. */
  readonly usualAnswerTokens: number;
  /** Time of a token step in ms, with all layers on the fastest card. */
  readonly stepMs: number;
  /** Time in ms that each running request adds to a token step. */
  readonly requestStepMs: number;
  /** Time in ms that each token in the context of running requests adds to a token step. */
  readonly contextStepMs: number;
}

/** An order to an engine to hold a range of layers. */
export interface LayerOrder extends LayerRange {
  readonly engineId: string;
}
