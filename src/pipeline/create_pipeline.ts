/**
 * The state of a pipeline before its first chain.
 *
 * @module
 */

import type { PipelineState } from "./types.ts";

/** Options of {@link createPipeline}. */
export interface CreatePipelineOptions {
  /** Tokens after which the answer ends. */
  readonly maxTokens?: number;
}

/** Tokens of an answer where the request names no number. */
export const DEFAULT_MAX_TOKENS = 256;

/**
 * Makes the state of a request's pipeline.
 *
 * @param layerCount - Layers of the model.
 * @param options - The most tokens that are wanted.
 * @returns The state; it waits for a chain.
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
