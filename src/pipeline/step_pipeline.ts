/**
 * The state transition of a request's pipeline, as a pure function.
 *
 * @module
 */

import { isCompleteChain } from "./is_complete_chain.ts";
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
 * Applies one event to a pipeline.
 *
 * A new chain starts a new epoch. The first step of an epoch runs the prompt and all
 * tokens emitted so far, so that the stream continues where it was. The output of an
 * older epoch, or of a step other than the running one, is ignored. A token is emitted
 * only after all layers have run for it in one epoch.
 *
 * @param state - The state of the pipeline.
 * @param event - A chain, or the output of a step.
 * @returns The next state and the effects to execute.
 * @throws {PipelineInvariantError} If a chain does not cover the layers once and in
 * order, or if the output lacks the input of the next stage or the token.
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
  if (event.type === "chain") return startEpoch(state, event.chain);
  const expected = event.epoch === state.epoch &&
    event.position === state.position &&
    event.stageIndex === state.stageIndex && !state.ended;
  if (!expected) {
    return { state, effects: [{ type: "late", epoch: event.epoch }] };
  }
  return applyOutput(state, event.output);
}

function startEpoch(
  state: PipelineState,
  chain: readonly Stage[],
): PipelineStep {
  if (state.ended) return { state, effects: [] };
  if (!isCompleteChain(chain, state.layerCount)) {
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
  return { state: next, effects: [createStepEffect(next, { prefill: true })] };
}

function createStepEffect(
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

function applyOutput(
  state: PipelineState,
  output: StepOutput,
): PipelineStep {
  const { layers } = state.chain[state.stageIndex];
  if (layers.start !== state.layersDone) {
    throw new PipelineInvariantError(
      `A stage ran layers from ${layers.start}, expected layers from ${state.layersDone}`,
    );
  }
  const advanced: PipelineState = {
    ...state,
    layersDone: layers.end,
    stageIndex: state.stageIndex + 1,
  };
  return advanced.stageIndex < state.chain.length
    ? startNextStage(advanced, output)
    : emitToken(advanced, output);
}

function startNextStage(
  state: PipelineState,
  output: StepOutput,
): PipelineStep {
  if (output.hidden === undefined) {
    throw new PipelineInvariantError(
      "A stage returned no input for the next stage",
    );
  }
  const { hidden } = output;
  const prefill = state.position === state.epochStart;
  return { state, effects: [createStepEffect(state, { prefill, hidden })] };
}

function emitToken(state: PipelineState, output: StepOutput): PipelineStep {
  const { token } = output;
  if (token === undefined || state.layersDone !== state.layerCount) {
    throw new PipelineInvariantError(
      "The last stage returned no token, or not all layers had run",
    );
  }
  const tokens = [...state.tokens, token];
  const ended = token.last || tokens.length >= state.maxTokens;
  const emitEffect = {
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
  const nextEffect = ended
    ? { type: "end" } as const
    : createStepEffect(next, { prefill: false, previousToken: token.id });
  return { state: next, effects: [emitEffect, nextEffect] };
}
