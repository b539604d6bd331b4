/**
 * The values that a pipeline's decisions work on.
 *
 * @module
 */

import type { LayerRange } from "../model/index.ts";

/** One stage of a chain: an upstream and the layers that it runs. */
export interface Stage {
  readonly upstream: string;
  readonly layers: LayerRange;
}

/** One step: a stage runs its layers for one or more positions. */
export interface StepOrder {
  readonly epoch: number;
  readonly stageIndex: number;
  readonly stage: Stage;
  /** First position that the step covers; 0 is the prompt. */
  readonly position: number;
  /** Output of the stage before; absent at the first stage. */
  readonly hidden?: string;
  /** The token before, at the first stage of a position after the prefill. */
  readonly previousToken?: number;
  /** Set at the first step of an epoch: all tokens are run again. */
  readonly prefill: boolean;
}

/** What a step gave. */
export interface StepOutput {
  /** Input of the next stage, from all but the last. */
  readonly hidden?: string;
  /** The token, from the last stage. */
  readonly token?: EmittedToken;
}

/** A token that the last stage gave. */
export interface EmittedToken {
  readonly id: number;
  readonly text: string;
  /** Whether the model ends here. */
  readonly last: boolean;
}

/** The state of one request's pipeline. */
export interface PipelineState {
  readonly layerCount: number;
  readonly maxTokens: number;
  /** Counts the chains that the request has run on; the first is 1. */
  readonly epoch: number;
  readonly chain: readonly Stage[];
  /** Tokens that the caller was given, in order. */
  readonly tokens: readonly EmittedToken[];
  /** Position that is being run. */
  readonly position: number;
  /** Position at which the epoch began, with a prefill. */
  readonly epochStart: number;
  /** Stage that is running; the chain's length where none is. */
  readonly stageIndex: number;
  /** Layers of the position that have run in this epoch. */
  readonly layersDone: number;
  readonly ended: boolean;
}

/** What moves a pipeline. */
export type PipelineEvent =
  | { readonly type: "chain"; readonly chain: readonly Stage[] }
  | {
    readonly type: "stepDone";
    readonly epoch: number;
    readonly position: number;
    readonly stageIndex: number;
    readonly output: StepOutput;
  };

/** What a pipeline asks for. */
export type PipelineEffect =
  | { readonly type: "step"; readonly order: StepOrder }
  | {
    readonly type: "emit";
    readonly token: EmittedToken;
    readonly position: number;
  }
  | { readonly type: "late"; readonly epoch: number }
  | { readonly type: "end" };

/** A state after an event, and what it asks for. */
export interface PipelineStep {
  readonly state: PipelineState;
  readonly effects: readonly PipelineEffect[];
}
