/**
 * Creates the initial state of a pipeline.
 *
 * @module
 */

import type { PipelineState } from "./types.ts";

/** Options of {@link createPipeline}. */
export interface CreatePipelineOptions {
  /** Maximum number of tokens of the answer. */
  readonly maxTokens?: number;
}

/** Maximum number of tokens of an answer if the request sets none. */
export const DEFAULT_MAX_TOKENS = 256;

/**
 * Creates the state of a request's pipeline.
 *
 * @param layerCount - Number of layers of the model.
 * @param options - The maximum number of tokens.
 * @returns The state, without a chain.
 * @throws Nothing.
 * @example
 * const pipeline = createPipeline(32, { maxTokens: 100 });
 */
export function createPipeline(
  layerCount: number,
  options: CreatePipelineOptions = {},
): PipelineState {
  const { maxTokens = DEFAULT_MAX_TOKENS } = options;
  return {
    layerCount,
    maxTokens,
    epoch: 0,
    chain: [],
    tokens: [],
    position: 0,
    epochStart: 0,
    stageIndex: 0,
    layersDone: 0,
    ended: false,
  };
}
