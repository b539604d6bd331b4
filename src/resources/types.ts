/**
 * The accepted state and the commands that change it.
 *
 * @module
 */

import type { Resource, ResourceChange, ResourceKind } from "../model/index.ts";

/** A change of one resource, as recorded in the quorum log. */
export interface ChangeCommand {
  readonly type: "change";
  /** Identifies the change; a retry with the same id gets the first answer. */
  readonly changeId: string;
  readonly operator: string;
  readonly action: "put" | "delete";
  readonly kind: ResourceKind;
  readonly name: string;
  /** The new spec; absent for a deletion. */
  readonly spec?: unknown;
  /** The revision that the operator has read; 0 to create the resource. */
  readonly expectedRevision: number;
}

/** Why a change was rejected. */
export type ChangeRefusal =
  | "conflict"
  | "not_found"
  | "invalid"
  | "change_id_reused";

/** The answer to a change. */
export type ChangeResult =
  | { readonly accepted: true; readonly revision: number }
  | {
    readonly accepted: false;
    readonly reason: ChangeRefusal;
    readonly detail: string;
    /** Current revision of the resource; 0 if it does not exist. */
    readonly currentRevision: number;
    /** Fields in which the current spec differs from the one sent. */
    readonly differs: readonly string[];
  };

/** The answer to a change, kept so that a retry gets the same one. */
export interface AnsweredChange {
  readonly fingerprint: string;
  readonly result: ChangeResult;
}

/** The accepted state. */
export interface ResourceState {
  /** Number of accepted changes; never decreases. */
  readonly revision: number;
  readonly resources: ReadonlyMap<string, Resource>;
  /** Answers by change id, oldest first. */
  readonly answered: ReadonlyMap<string, AnsweredChange>;
  /** The most recent changes, without gaps, oldest first. */
  readonly history: readonly ResourceChange[];
}

/** The state after a change, and the answer to it. */
export interface AppliedChange {
  readonly state: ResourceState;
  readonly result: ChangeResult;
  /** Set if the change was accepted now; absent for a retry of an answered one. */
  readonly change?: ResourceChange;
}
