/**
 * State, events and effects of a pipeline.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";

/** One stage of a chain: an upstream and the layers that it runs. */
export interface Stage {
  readonly upstream: string;
  readonly layers: LayerRange;
}

/** An order to a stage to run its layers for one or more positions. */
export interface StepOrder {
  readonly epoch: number;
  readonly stageIndex: number;
  readonly stage: Stage;
  /** First position that the step covers; 0 is the prompt. */
  readonly position: number;
  /** Output of the previous stage; absent for the first stage. */
  readonly hidden?: string;
  /** Previous token; set only for the first stage, after the prefill. */
  readonly previousToken?: number;
  /** Whether this step is part of the prefill, which runs all tokens so far again. */
  readonly prefill: boolean;
}

/** Output of a step. */
export interface StepOutput {
  /** Input of the next stage; absent in the output of the last stage. */
  readonly hidden?: string;
  /** The next token; only in the output of the last stage. */
  readonly token?: EmittedToken;
}

/** A token that the last stage returned. */
export interface EmittedToken {
  readonly id: number;
  readonly text: string;
  /** Whether the model ends the answer with this token. */
  readonly last: boolean;
}

/** The state of one request's pipeline. */
export interface PipelineState {
  readonly layerCount: number;
  readonly maxTokens: number;
  /** Number of chains that the request has run on; 0 before the first chain. */
  readonly epoch: number;
  readonly chain: readonly Stage[];
  /** Tokens emitted to the caller, in order. */
  readonly tokens: readonly EmittedToken[];
  /** Position that the stages currently run. */
  readonly position: number;
  /** Position of the prefill, with which the epoch began. */
  readonly epochStart: number;
  /** Index of the running stage in the chain. */
  readonly stageIndex: number;
  /** Number of layers that have run for the current position in this epoch. */
  readonly layersDone: number;
  readonly ended: boolean;
}

/** An input of a pipeline: a new chain, or the output of a step. */
export type PipelineEvent =
  | { readonly type: "chain"; readonly chain: readonly Stage[] }
  | {
    readonly type: "stepDone";
    readonly epoch: number;
    readonly position: number;
    readonly stageIndex: number;
    readonly output: StepOutput;
  };

/** An action that the caller of a pipeline executes. */
export type PipelineEffect =
  | { readonly type: "step"; readonly order: StepOrder }
  | {
    readonly type: "emit";
    readonly token: EmittedToken;
    readonly position: number;
  }
  | { readonly type: "late"; readonly epoch: number }
  | { readonly type: "end" };

/** The state after an event, and the effects to execute. */
export interface PipelineStep {
  readonly state: PipelineState;
  readonly effects: readonly PipelineEffect[];
}
