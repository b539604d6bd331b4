/**
 * Applies one change to the accepted state.
 *
 * @module
 */

import { createHash } from "node:crypto";
import {
  findSchemaProblems,
  type Resource,
  type ResourceChange,
  SPEC_SCHEMAS,
} from "../model/index.ts";
import { MAX_ANSWERED_CHANGES, MAX_HISTORY_CHANGES } from "./constants.ts";
import { findSpecDifferences } from "./find_spec_differences.ts";
import { getResourceKey } from "./get_resource_key.ts";
import type {
  AppliedChange,
  ChangeCommand,
  ChangeResult,
  ResourceState,
} from "./types.ts";

/**
 * Applies a change to the accepted state.
 *
 * Deterministic: the result depends only on the state and the command, so all
 * replicas compute the same one. Of two changes that expect the same revision
 * the first in the log wins; a change whose id was answered before gets the
 * recorded answer.
 *
 * @param state - The accepted state.
 * @param command - The change.
 * @returns The next state, the answer, and the change if it was accepted now.
 * @throws Nothing.
 * @example
 * const { state: next, result } = applyChange(state, command);
 */
export function applyChange(
  state: ResourceState,
  command: ChangeCommand,
): AppliedChange {
  const fingerprint = getFingerprint(command);
  const recorded = state.answered.get(command.changeId);
  if (recorded) {
    const same = recorded.fingerprint === fingerprint;
    return { state, result: same ? recorded.result : rejectReusedChangeId() };
  }
  const rejection = findRejection(state, command);
  const result = rejection ?? { accepted: true, revision: state.revision + 1 };
  const answered = addAndTrimOldest(state.answered, {
    key: command.changeId,
    value: { fingerprint, result },
  });
  if (!result.accepted) return { state: { ...state, answered }, result };
  const change = makeChange(state, command);
  const next = applyAcceptedChanges({ ...state, answered }, [change]);
  return { state: next, result, change };
}

/**
 * Applies accepted changes to a state without checks. Control and entries use it.
 *
 * @param state - The state.
 * @param changes - Changes with higher revisions, in order.
 * @returns The state at the revision of the last change.
 * @throws Nothing.
 * @example
 * const next = applyAcceptedChanges(state, [change]);
 */
export function applyAcceptedChanges(
  state: ResourceState,
  changes: readonly ResourceChange[],
): ResourceState {
  // The map is copied once for all changes: a full state arrives as a thousand
  // changes.
  const resources = new Map(state.resources);
  for (const { kind, name, resource } of changes) {
    const key = getResourceKey(kind, name);
    if (resource) resources.set(key, resource);
    else resources.delete(key);
  }
  const revision = changes.at(-1)?.revision ?? state.revision;
  const history = [...state.history, ...changes].slice(-MAX_HISTORY_CHANGES);
  return { ...state, revision, resources, history };
}

function getFingerprint(command: ChangeCommand): string {
  const { changeId: _changeId, operator: _operator, ...rest } = command;
  return createHash("sha256").update(JSON.stringify(rest)).digest("hex");
}

function rejectReusedChangeId(): ChangeResult {
  return {
    accepted: false,
    reason: "change_id_reused",
    detail: "The change id was used for another change",
    currentRevision: 0,
    differs: [],
  };
}

function findRejection(
  state: ResourceState,
  command: ChangeCommand,
): ChangeResult | undefined {
  const { action, kind, name, spec, expectedRevision } = command;
  const current = state.resources.get(getResourceKey(kind, name));
  const currentRevision = current?.revision ?? 0;
  if (action === "delete" && !current) {
    return {
      accepted: false,
      reason: "not_found",
      detail: `There is no ${kind} ${name}`,
      currentRevision,
      differs: [],
    };
  }
  if (currentRevision !== expectedRevision) {
    return {
      accepted: false,
      reason: "conflict",
      detail:
        `${kind} ${name} is at revision ${currentRevision}, not ${expectedRevision}`,
      currentRevision,
      differs: findSpecDifferences(current?.spec, spec),
    };
  }
  if (action === "delete") return undefined;
  const problems = findSchemaProblems(SPEC_SCHEMAS[kind], spec);
  if (problems.length === 0) return undefined;
  const detail = problems
    .map(({ field, found, allowed }) =>
      `${field || "spec"}: found ${found}, allowed is ${allowed}`
    )
    .join("; ");
  return {
    accepted: false,
    reason: "invalid",
    detail,
    currentRevision,
    differs: [],
  };
}

function makeChange(
  state: ResourceState,
  command: ChangeCommand,
): ResourceChange {
  const { action, kind, name } = command;
  const revision = state.revision + 1;
  if (action === "delete") return { revision, kind, name };
  const current = state.resources.get(getResourceKey(kind, name));
  const resource: Resource = {
    kind,
    name,
    spec: command.spec as Resource["spec"],
    revision,
    generation: (current?.generation ?? 0) + 1,
  };
  return { revision, kind, name, resource };
}

function addAndTrimOldest<Value>(
  map: ReadonlyMap<string, Value>,
  added: { key: string; value: Value },
): ReadonlyMap<string, Value> {
  const next = new Map(map).set(added.key, added.value);
  for (const key of next.keys()) {
    if (next.size <= MAX_ANSWERED_CHANGES) break;
    next.delete(key);
  }
  return next;
}
