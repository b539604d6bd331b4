/**
 * Layers of a model spread over engines.
 *
 * @module
 */

import type { LayerRange } from "../engines/index.ts";

/** An engine that may hold layers, as the planner sees it. */
export interface LayerEngine {
  readonly engineId: string;
  readonly place: string;
  readonly memoryMb: number;
  /** Factor on the time of a token step on its card. */
  readonly stepFactor: number;
  /** What it holds, or has been ordered to hold; undefined where nothing. */
  readonly range?: LayerRange;
  /** Whether it was ordered to hold its range and has not said yet that it does. */
  readonly isLoading?: boolean;
}

/** One engine's part of a path. */
export interface PathPart extends LayerRange {
  readonly engineId: string;
}

/** The figures of a model that placement goes by. */
export interface LayerFigures {
  readonly layers: number;
  readonly layerMb: number;
  /** Bytes of KV cache that a token takes over all layers. */
  readonly kvTokenBytes: number;
  /** Requests that an engine takes as the first of a path. */
  readonly slots: number;
  /** Mean tokens of a prompt. */
  readonly usualPromptTokens: number;
  /** Mean tokens of an answer. */
  readonly usualAnswerTokens: number;
  /** Time of a token step, in ms, with all layers on the fastest card. */
  readonly stepMs: number;
  /** Time, in ms, that each running request adds to a token step. */
  readonly requestStepMs: number;
  /** Time, in ms, that each token of running requests adds to it. */
  readonly contextStepMs: number;
}

/** An order to an engine: hold this range. */
export interface LayerOrder extends LayerRange {
  readonly engineId: string;
}
