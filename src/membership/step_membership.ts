/**
 * Who is live: one pure step.
 *
 * @module
 */

import type { LiveState } from "../model/index.ts";
import type {
  EntryMember,
  MembershipEvent,
  MembershipOptions,
  MembershipState,
  MembershipStep,
} from "./types.ts";

/** Window, in ms, within which losses count as flapping. */
export const FLAP_WINDOW_MS = 60_000;

/** Losses within the window from which an entry is held back. */
export const FLAP_LOSSES = 3;

/** Ms for which a flapping entry is held back, doubled by each further loss. */
export const FLAP_HOLD_MS = 5_000;

/** Longest time, in ms, for which a flapping entry is held back. */
export const MAX_FLAP_HOLD_MS = 60_000;

/** Time, in ms, for which a VM may be absent from the lagging list. */
export const UNLISTED_GRACE_MS = 3_000;

/** Requests in flight, over the mean, from which an entry is overloaded. */
export const OVERLOAD_FACTOR = 1.25;

/** The same, added: with few requests chance alone goes over the factor. */
export const OVERLOAD_MARGIN = 8;

/** Requests in flight, over the mean, below which it is no longer. */
export const UNMARK_FACTOR = 1.1;

/** Report of an entry that has just said hello. */
const EMPTY_REPORT = { inFlight: 0, demandPerS: {}, poolDemandPerS: {} };

/**
 * Makes a membership that knows nobody.
 *
 * @returns The state.
 * @throws Nothing.
 * @example
 * const state = createMembershipState();
 */
export function createMembershipState(): MembershipState {
  return { entries: {}, vms: {}, unlistedSinceMs: {} };
}

/**
 * Moves the membership by one event.
 *
 * An entry is live while its lease runs; a heartbeat of an older incarnation
 * counts for nothing. Leaving beats live, whether the entry or the platform
 * says it. An entry that was lost several times within a minute is held back
 * for a while before callers are told of it again.
 *
 * @param state - The membership.
 * @param event - What was heard, or a tick.
 * @param options - The time and the lease, in ms.
 * @returns The next state and what changed.
 * @throws Nothing.
 * @example
 * const { state: next, lost } = stepMembership(state, { type: "tick" }, {
 *   nowMs: 2_000,
 *   leaseMs: 1_500,
 * });
 */
export function stepMembership(
  state: MembershipState,
  event: MembershipEvent,
  options: MembershipOptions,
): MembershipStep {
  const heard = takeEvent(state, event, options);
  const touched = listTouched(event, heard);
  const listed = updateListing(heard, { ...options, touched });
  const next = event.type === "tick" ? updateOverload(listed) : listed;
  const pairs = touched.map((vm): MemberPair => ({
    now: next.entries[vm],
    was: state.entries[vm],
  }));
  const joined = namesWhere(
    pairs,
    ({ now, was }) => now.listed && !was?.listed,
  );
  const lost = namesWhere(pairs, ({ now, was }) => !now.listed && was?.listed);
  const leaving = namesWhere(
    pairs,
    ({ now, was }) => now.leaving && !was?.leaving,
  );
  const reloaded = namesWhere(
    pairs,
    ({ now, was }) => now.overloaded !== was?.overloaded,
  );
  const moved = [joined, lost, leaving, reloaded].some((vms) => vms.length > 0);
  const changed = moved || hasDifferentVms(state, next);
  return { state: next, joined, lost, leaving, changed };
}

/** An entry after a step, and before it. */
interface MemberPair {
  readonly now: EntryMember;
  readonly was: EntryMember | undefined;
}

function takeEvent(
  state: MembershipState,
  event: MembershipEvent,
  options: MembershipOptions,
): MembershipState {
  const { nowMs } = options;
  if (event.type === "platformList") return takeList(state, { event, nowMs });
  if (event.type === "tick") return state;
  if (event.type === "heartbeats") {
    return takeHeartbeats(state, { event, nowMs });
  }
  const before = state.entries[event.vm];
  const member: EntryMember = {
    vm: event.vm,
    place: event.place,
    address: event.address,
    incarnation: event.incarnation,
    heardMs: nowMs,
    revision: event.revision,
    leaving: false,
    report: EMPTY_REPORT,
    overloaded: false,
    listed: before?.listed ?? false,
    heldBackUntilMs: before?.heldBackUntilMs ?? 0,
    recentLosses: before?.recentLosses ?? [],
  };
  return { ...state, entries: { ...state.entries, [member.vm]: member } };
}

function takeHeartbeats(
  state: MembershipState,
  given: {
    event: Extract<MembershipEvent, { type: "heartbeats" }>;
    nowMs: number;
  },
): MembershipState {
  const { event, nowMs } = given;
  const entries = { ...state.entries };
  for (
    const { vm, incarnation, revision, leaving, report } of event.heartbeats
  ) {
    const before = entries[vm];
    if (before?.incarnation !== incarnation) continue;
    entries[vm] = {
      ...before,
      heardMs: nowMs,
      revision: Math.max(before.revision, revision),
      leaving: before.leaving || leaving,
      report,
    };
  }
  return { ...state, entries };
}

// The list lags: a VM that it does not show is missing only after a while, and
// only where the list shows other upstreams' VMs.
function takeList(
  state: MembershipState,
  given: {
    event: Extract<MembershipEvent, { type: "platformList" }>;
    nowMs: number;
  },
): MembershipState {
  const { event, nowMs } = given;
  const { vms: listed, expected } = event;
  const shows = expected.some((vm) => listed[vm] !== undefined);
  const unlisted = shows
    ? expected.filter((vm) => listed[vm] === undefined)
    : [];
  const unlistedSinceMs = Object.fromEntries(
    unlisted.map((vm) => [vm, state.unlistedSinceMs[vm] ?? nowMs]),
  );
  const missing = unlisted
    .filter((vm) => nowMs - unlistedSinceMs[vm] >= UNLISTED_GRACE_MS)
    .map((vm) => [vm, "missing"] as const);
  const vms = { ...Object.fromEntries(missing), ...listed };
  return { ...state, vms, unlistedSinceMs };
}

// Looking at all entries for each heartbeat would cost the square of their
// number.
function listTouched(
  event: MembershipEvent,
  state: MembershipState,
): readonly string[] {
  if (event.type === "hello") return [event.vm];
  if (event.type !== "heartbeats") return Object.keys(state.entries);
  const vms = new Set(event.heartbeats.map(({ vm }) => vm));
  return [...vms].filter((vm) => state.entries[vm] !== undefined);
}

function updateListing(
  state: MembershipState,
  options: MembershipOptions & { touched: readonly string[] },
): MembershipState {
  const { nowMs, leaseMs, touched } = options;
  const entries = { ...state.entries };
  for (const vm of touched) {
    const member = entries[vm];
    const alive = nowMs - member.heardMs < leaseMs;
    entries[vm] = alive ? markAlive(member, nowMs) : markLost(member, nowMs);
  }
  return { ...state, entries };
}

// Marked above the higher bound, unmarked below the lower one, so that an entry
// near the bound does not come and go.
function updateOverload(state: MembershipState): MembershipState {
  const listed = Object.values(state.entries).filter((one) => one.listed);
  const total = listed.reduce((sum, one) => sum + one.report.inFlight, 0);
  const mean = total / Math.max(1, listed.length);
  const entries: Record<string, EntryMember> = {};
  for (const member of Object.values(state.entries)) {
    const { inFlight } = member.report;
    const overloaded = member.overloaded
      ? inFlight > mean * UNMARK_FACTOR
      : inFlight > mean * OVERLOAD_FACTOR + OVERLOAD_MARGIN;
    entries[member.vm] = { ...member, overloaded };
  }
  return { ...state, entries };
}

function markAlive(member: EntryMember, nowMs: number): EntryMember {
  if (member.listed || nowMs < member.heldBackUntilMs) return member;
  return { ...member, listed: true };
}

function markLost(member: EntryMember, nowMs: number): EntryMember {
  if (!member.listed || member.leaving) return { ...member, listed: false };
  const recentLosses = [
    ...member.recentLosses.filter((lossMs) => nowMs - lossMs < FLAP_WINDOW_MS),
    nowMs,
  ];
  const excess = recentLosses.length - FLAP_LOSSES;
  const holdMs = excess < 0
    ? 0
    : Math.min(MAX_FLAP_HOLD_MS, FLAP_HOLD_MS * 2 ** excess);
  const heldBackUntilMs = nowMs + holdMs;
  return { ...member, listed: false, recentLosses, heldBackUntilMs };
}

function namesWhere(
  pairs: readonly MemberPair[],
  test: (pair: MemberPair) => boolean | undefined,
): string[] {
  return pairs.filter(test).map(({ now }) => now.vm);
}

function hasDifferentVms(a: MembershipState, b: MembershipState): boolean {
  if (a.vms === b.vms) return false;
  const names = new Set([...Object.keys(a.vms), ...Object.keys(b.vms)]);
  return [...names].some((name) => a.vms[name] !== b.vms[name]);
}

/**
 * Gets what entries and callers are told.
 *
 * @param state - The membership.
 * @returns The live entries by name, and the VMs that are not simply live.
 * @throws Nothing.
 * @example
 * const live = getLiveState(state);
 */
export function getLiveState(state: MembershipState): LiveState {
  const entries = Object.values(state.entries)
    .filter((member) => member.listed)
    .sort((a, b) => a.vm < b.vm ? -1 : 1)
    .map((member) => ({
      vm: member.vm,
      place: member.place,
      address: member.address,
      leaving: member.leaving || state.vms[member.vm] === "leaving",
      overloaded: member.overloaded,
    }));
  const notLive = Object.entries(state.vms).filter(([, vm]) => vm !== "live");
  return { entries, vms: Object.fromEntries(notLive) };
}
