/**
 * Claims and the commands that record them.
 *
 * @module
 */

import type { Outcome } from "../model/index.ts";

/** How a claimed request ended. */
export interface ClaimEndState {
  readonly outcome: Outcome;
  /** HTTP status that the caller got. */
  readonly status: number;
  readonly contentType: string;
  /** The answer, where it was small enough to keep; else undefined. */
  readonly body?: string;
}

/** A claim; it is running until it has an end. */
export interface Claim {
  readonly requestHash: string;
  /** Who runs it: the entry's VM, its incarnation, the attempt's number. */
  readonly holder: string;
  /** Leader's wall clock, in ms, when it was granted. */
  readonly startedMs: number;
  readonly end?: ClaimEndState;
}

/** Asks for a claim, as it stands in the log. */
export interface ClaimBeginCommand {
  readonly type: "claimBegin";
  readonly clientAccount: string;
  readonly key: string;
  readonly requestHash: string;
  readonly holder: string;
  readonly nowMs: number;
}

/** Records an end, as it stands in the log. */
export interface ClaimEndCommand {
  readonly type: "claimEnd";
  readonly clientAccount: string;
  readonly key: string;
  readonly holder: string;
  readonly end: ClaimEndState;
}
