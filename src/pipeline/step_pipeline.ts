/**
 * Drives one request over its stages: one pure step.
 *
 * @module
 */

import { isWholeChain } from "./is_whole_chain.ts";
import { PipelineInvariantError } from "./pipeline_error.ts";
import type {
  PipelineEvent,
  PipelineState,
  PipelineStep,
  Stage,
  StepOrder,
  StepOutput,
} from "./types.ts";

/**
 * Moves a pipeline by one event.
 *
 * A new chain opens a new epoch: its first step runs the prompt and all tokens
 * given so far, so the stream goes on where it stood. An answer of an older
 * epoch, or for a step that is not the running one, changes nothing. A token
 * is emitted only once all layers have run for it in one epoch.
 *
 * @param state - The pipeline.
 * @param event - A chain, or a step's answer.
 * @returns The next state and what to do.
 * @throws {PipelineInvariantError} When a chain does not tile the layers, or a
 * stage's answer lacks what its place demands.
 * @example
 * const { state: next, effects } = stepPipeline(state, {
 *   type: "chain",
 *   chain,
 * });
 */
export function stepPipeline(
  state: PipelineState,
  event: PipelineEvent,
): PipelineStep {
  if (event.type === "chain") return takeChain(state, event.chain);
  const expected = event.epoch === state.epoch &&
    event.position === state.position &&
    event.stageIndex === state.stageIndex && !state.ended;
  if (!expected) {
    return { state, effects: [{ type: "late", epoch: event.epoch }] };
  }
  return takeOutput(state, event.output);
}

function takeChain(
  state: PipelineState,
  chain: readonly Stage[],
): PipelineStep {
  if (state.ended) return { state, effects: [] };
  if (!isWholeChain(chain, state.layerCount)) {
    throw new PipelineInvariantError(
      `The chain does not cover layers 0 to ${state.layerCount} once and in order`,
    );
  }
  const next: PipelineState = {
    ...state,
    epoch: state.epoch + 1,
    chain,
    position: state.tokens.length,
    epochStart: state.tokens.length,
    stageIndex: 0,
    layersDone: 0,
  };
  return { state: next, effects: [order(next, { prefill: true })] };
}

function order(
  state: PipelineState,
  options: { prefill: boolean; hidden?: string; previousToken?: number },
): { type: "step"; order: StepOrder } {
  const { epoch, stageIndex, position } = state;
  const stage = state.chain[stageIndex];
  return {
    type: "step",
    order: { epoch, stageIndex, stage, position, ...options },
  };
}

function takeOutput(
  state: PipelineState,
  output: StepOutput,
): PipelineStep {
  const { layers } = state.chain[state.stageIndex];
  if (layers.start !== state.layersDone) {
    throw new PipelineInvariantError(
      `Layers from ${layers.start} ran when ${state.layersDone} was next`,
    );
  }
  const advanced: PipelineState = {
    ...state,
    layersDone: layers.end,
    stageIndex: state.stageIndex + 1,
  };
  return advanced.stageIndex < state.chain.length
    ? passOn(advanced, output)
    : emit(advanced, output);
}

function passOn(state: PipelineState, output: StepOutput): PipelineStep {
  if (output.hidden === undefined) {
    throw new PipelineInvariantError("A stage gave no input for the next one");
  }
  const { hidden } = output;
  const prefill = state.position === state.epochStart;
  return { state, effects: [order(state, { prefill, hidden })] };
}

function emit(state: PipelineState, output: StepOutput): PipelineStep {
  const { token } = output;
  if (token === undefined || state.layersDone !== state.layerCount) {
    throw new PipelineInvariantError(
      "The last stage gave no token, or not all layers had run",
    );
  }
  const tokens = [...state.tokens, token];
  const ended = token.last || tokens.length >= state.maxTokens;
  const emitted = {
    type: "emit",
    token,
    position: state.position,
  } as const;
  const next: PipelineState = {
    ...state,
    tokens,
    ended,
    position: state.position + 1,
    stageIndex: 0,
    layersDone: 0,
  };
  const follow = ended
    ? { type: "end" } as const
    : order(next, { prefill: false, previousToken: token.id });
  return { state: next, effects: [emitted, follow] };
}
