/**
 * Incremental changes of the live state.
 *
 * @module
 */

import type { LiveChange, LiveEntry, LiveState } from "../model/index.ts";

/** The live state before any change was received. */
export const EMPTY_LIVE_STATE: LiveState = { entries: [], vms: {} };

/**
 * Computes the change from one live state to another.
 *
 * @param before - The state last published; undefined for a full change.
 * @param after - The current state.
 * @returns The change.
 * @throws Nothing.
 * @example
 * const change = getLiveChange(published, next);
 */
export function getLiveChange(
  before: LiveState | undefined,
  after: LiveState,
): LiveChange {
  const { entries: oldEntries, vms: oldVms } = before ?? EMPTY_LIVE_STATE;
  const previous = new Map(oldEntries.map((entry) => [entry.vm, entry]));
  const present = new Set(after.entries.map((entry) => entry.vm));
  const vms = Object.entries(after.vms)
    .filter(([vm, state]) => oldVms[vm] !== state);
  return {
    full: before === undefined,
    entries: after.entries.filter((entry) =>
      !isSameEntry(entry, previous.get(entry.vm))
    ),
    goneEntries: [...previous.keys()].filter((vm) => !present.has(vm)),
    vms: Object.fromEntries(vms),
    liveVms: Object.keys(oldVms).filter((vm) => after.vms[vm] === undefined),
  };
}

/**
 * Applies a change to a live state.
 *
 * @param state - The state to which the change applies.
 * @param change - The change.
 * @returns The updated state.
 * @throws Nothing.
 * @example
 * const next = applyLiveChange(state, change);
 */
export function applyLiveChange(
  state: LiveState,
  change: LiveChange,
): LiveState {
  const base = change.full ? EMPTY_LIVE_STATE : state;
  const entries = new Map(base.entries.map((entry) => [entry.vm, entry]));
  for (const vm of change.goneEntries) entries.delete(vm);
  for (const entry of change.entries) entries.set(entry.vm, entry);
  const vms = { ...base.vms, ...change.vms };
  for (const vm of change.liveVms) delete vms[vm];
  return { entries: [...entries.values()], vms };
}

function isSameEntry(a: LiveEntry, b: LiveEntry | undefined): boolean {
  return b !== undefined && a.place === b.place && a.address === b.address &&
    a.leaving === b.leaving && a.overloaded === b.overloaded;
}
