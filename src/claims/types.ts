/**
 * Claims and the commands that record them.
 *
 * @module
 */

import type { Outcome } from "../model/index.ts";

/** How a claimed request ended. */
export interface ClaimEndState {
  readonly outcome: Outcome;
  /** HTTP status sent to the caller. */
  readonly status: number;
  readonly contentType: string;
  /** The response body; undefined if it was too large to keep. */
  readonly body?: string;
}

/** A claim; its request counts as running until `end` is set. */
export interface Claim {
  readonly requestHash: string;
  /** The owner: the entry's VM, its incarnation and the attempt number. */
  readonly holder: string;
  /** Time of the grant by the leader's wall clock, in ms. */
  readonly startedMs: number;
  readonly end?: ClaimEndState;
}

/** Log command that requests a claim. */
export interface ClaimBeginCommand {
  readonly type: "claimBegin";
  readonly clientAccount: string;
  readonly key: string;
  readonly requestHash: string;
  readonly holder: string;
  readonly nowMs: number;
}

/** Log command that records the end of a claimed request. */
export interface ClaimEndCommand {
  readonly type: "claimEnd";
  readonly clientAccount: string;
  readonly key: string;
  readonly holder: string;
  readonly end: ClaimEndState;
}
