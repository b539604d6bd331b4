/**
 * The accepted state and the commands that change it.
 *
 * @module
 */

import type { Resource, ResourceChange, ResourceKind } from "../model/index.ts";

/** A change of one resource, as it stands in the log. */
export interface ChangeCommand {
  readonly type: "change";
  /** Names the change; sent again, it gets the first answer. */
  readonly changeId: string;
  readonly operator: string;
  readonly action: "put" | "delete";
  readonly kind: ResourceKind;
  readonly name: string;
  /** The new spec; absent where it is deleted. */
  readonly spec?: unknown;
  /** The revision that was read; 0 to create. */
  readonly expectedRevision: number;
}

/** Why a change was turned down. */
export type ChangeRefusal =
  | "conflict"
  | "not_found"
  | "invalid"
  | "change_id_reused";

/** What became of a change. */
export type ChangeResult =
  | { readonly accepted: true; readonly revision: number }
  | {
    readonly accepted: false;
    readonly reason: ChangeRefusal;
    readonly detail: string;
    /** Revision that the resource has; 0 where there is none. */
    readonly currentRevision: number;
    /** Fields in which the declared spec differs from the one sent. */
    readonly differs: readonly string[];
  };

/** An answered change, kept so that a repeat gets the same answer. */
export interface AnsweredChange {
  readonly fingerprint: string;
  readonly result: ChangeResult;
}

/** The accepted state. */
export interface ResourceState {
  /** Counts accepted changes; it never falls. */
  readonly revision: number;
  readonly resources: ReadonlyMap<string, Resource>;
  /** Answers by change id, the oldest first. */
  readonly answered: ReadonlyMap<string, AnsweredChange>;
  /** The newest changes, without gaps, the oldest first. */
  readonly history: readonly ResourceChange[];
}

/** A state after a change, and what became of the change. */
export interface AppliedChange {
  readonly state: ResourceState;
  readonly result: ChangeResult;
  /** Set where the change was accepted now, not on a repeat. */
  readonly change?: ResourceChange;
}
