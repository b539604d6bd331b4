/**
 * Changes of the live state: what is sent instead of the whole.
 *
 * @module
 */

import type { LiveChange, LiveEntry, LiveState } from "../model/index.ts";

/** The live state before anything was heard. */
export const EMPTY_LIVE_STATE: LiveState = { entries: [], vms: {} };

/**
 * Gets what has changed between two live states.
 *
 * @param before - What was last told; undefined for the whole state.
 * @param after - What holds now.
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
  const known = new Map(oldEntries.map((entry) => [entry.vm, entry]));
  const present = new Set(after.entries.map((entry) => entry.vm));
  const vms = Object.entries(after.vms)
    .filter(([vm, state]) => oldVms[vm] !== state);
  return {
    full: before === undefined,
    entries: after.entries.filter((entry) =>
      !isSame(entry, known.get(entry.vm))
    ),
    goneEntries: [...known.keys()].filter((vm) => !present.has(vm)),
    vms: Object.fromEntries(vms),
    liveVms: Object.keys(oldVms).filter((vm) => after.vms[vm] === undefined),
  };
}

/**
 * Takes a change into a live state.
 *
 * @param state - The state that the change follows on.
 * @param change - The change.
 * @returns The state after it.
 * @throws Nothing.
 * @example
 * const next = takeLiveChange(state, change);
 */
export function takeLiveChange(
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

function isSame(a: LiveEntry, b: LiveEntry | undefined): boolean {
  return b !== undefined && a.place === b.place && a.address === b.address &&
    a.leaving === b.leaving && a.overloaded === b.overloaded;
}
