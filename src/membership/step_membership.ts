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
  const next = updateListing(heard, options);
  const lost = namesWhere(
    next,
    state,
    (now, was) => !now.listed && was?.listed,
  );
  const joined = namesWhere(
    next,
    state,
    (now, was) => now.listed && !was?.listed,
  );
  const leaving = namesWhere(
    next,
    state,
    (now, was) => now.leaving && !was?.leaving,
  );
  const changed = lost.length + joined.length + leaving.length > 0 ||
    hasDifferentVms(state, next);
  return { state: next, joined, lost, leaving, changed };
}

function takeEvent(
  state: MembershipState,
  event: MembershipEvent,
  options: MembershipOptions,
): MembershipState {
  const { nowMs } = options;
  if (event.type === "platformList") return takeList(state, { event, nowMs });
  if (event.type === "tick") return state;
  const before = state.entries[event.vm];
  if (event.type === "hello") {
    const member: EntryMember = {
      vm: event.vm,
      place: event.place,
      address: event.address,
      incarnation: event.incarnation,
      heardMs: nowMs,
      revision: event.revision,
      leaving: false,
      report: EMPTY_REPORT,
      listed: before?.listed ?? false,
      heldBackUntilMs: before?.heldBackUntilMs ?? 0,
      recentLosses: before?.recentLosses ?? [],
    };
    return withEntry(state, member);
  }
  if (!before || before.incarnation !== event.incarnation) return state;
  return withEntry(state, {
    ...before,
    heardMs: nowMs,
    revision: Math.max(before.revision, event.revision),
    leaving: before.leaving || event.leaving,
    report: event.report,
  });
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

function withEntry(
  state: MembershipState,
  member: EntryMember,
): MembershipState {
  return { ...state, entries: { ...state.entries, [member.vm]: member } };
}

function updateListing(
  state: MembershipState,
  options: MembershipOptions,
): MembershipState {
  const { nowMs, leaseMs } = options;
  const entries: Record<string, EntryMember> = {};
  for (const member of Object.values(state.entries)) {
    const alive = nowMs - member.heardMs < leaseMs;
    entries[member.vm] = alive
      ? markAlive(member, nowMs)
      : markLost(member, nowMs);
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
  next: MembershipState,
  before: MembershipState,
  test: (now: EntryMember, was?: EntryMember) => boolean | undefined,
): string[] {
  return Object.values(next.entries)
    .filter((member) => test(member, before.entries[member.vm]))
    .map((member) => member.vm);
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
      inFlight: member.report.inFlight,
    }));
  const notLive = Object.entries(state.vms).filter(([, vm]) => vm !== "live");
  return { entries, vms: Object.fromEntries(notLive) };
}
