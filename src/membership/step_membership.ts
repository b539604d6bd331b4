/**
 * Membership of the entries as a pure step function.
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

/** Window, in ms, over which the losses of an entry are counted. */
export const FLAP_WINDOW_MS = 60_000;

/** Number of losses within the window from which an entry is held back. */
export const FLAP_LOSSES = 3;

/** Hold time, in ms, of a flapping entry; doubled by each further loss. */
export const FLAP_HOLD_MS = 5_000;

/** Maximum hold time, in ms, of a flapping entry. */
export const MAX_FLAP_HOLD_MS = 60_000;

/**
 * Time, in ms, for which a VM may be absent from the platform's list before it
 * counts as missing; the list lags.
 */
export const UNLISTED_GRACE_MS = 3_000;

/**
 * Multiple of the mean number of requests in flight above which, together with
 * the margin, an entry is marked as overloaded.
 */
export const OVERLOAD_FACTOR = 1.25;

/**
 * Requests in flight added to that threshold: at low load, random variation
 * alone exceeds the factor.
 */
export const OVERLOAD_MARGIN = 8;

/**
 * Multiple of the mean number of requests in flight at or below which an entry
 * is no longer marked as overloaded.
 */
export const OVERLOAD_CLEAR_FACTOR = 1.1;

/** Initial report of an entry, until its first heartbeat. */
const EMPTY_REPORT = { inFlight: 0, demandPerS: {}, poolDemandPerS: {} };

/**
 * Creates a membership without entries.
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
 * Applies one event to the membership.
 *
 * An entry is live while its lease runs; heartbeats of other incarnations are
 * ignored. Leaving takes precedence over live, whether the entry or the
 * platform reports it. An entry that was lost several times within a minute is
 * held back for a while before it is published to callers again.
 *
 * @param state - The membership.
 * @param event - The event to apply.
 * @param options - The time and the lease, in ms.
 * @returns The next state and the changes.
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
  const applied = applyEvent(state, event, options);
  const affected = listAffected(event, applied);
  const listed = updateListing(applied, { ...options, affected });
  const next = event.type === "tick" ? updateOverload(listed) : listed;
  const pairs = affected.map((vm): MemberPair => ({
    now: next.entries[vm],
    was: state.entries[vm],
  }));
  const joined = filterVms(
    pairs,
    ({ now, was }) => now.listed && !was?.listed,
  );
  const lost = filterVms(pairs, ({ now, was }) => !now.listed && was?.listed);
  const leaving = filterVms(
    pairs,
    ({ now, was }) => now.leaving && !was?.leaving,
  );
  const overloadChanged = filterVms(
    pairs,
    ({ now, was }) => now.overloaded !== was?.overloaded,
  );
  const entriesChanged = [joined, lost, leaving, overloadChanged].some((vms) =>
    vms.length > 0
  );
  const changed = entriesChanged || haveVmsChanged(state, next);
  return { state: next, joined, lost, leaving, changed };
}

/** An entry after and before a step. */
interface MemberPair {
  readonly now: EntryMember;
  readonly was: EntryMember | undefined;
}

function applyEvent(
  state: MembershipState,
  event: MembershipEvent,
  options: MembershipOptions,
): MembershipState {
  const { nowMs } = options;
  if (event.type === "platformList") return applyList(state, { event, nowMs });
  if (event.type === "tick") return state;
  if (event.type === "heartbeats") {
    return applyHeartbeats(state, { event, nowMs });
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

function applyHeartbeats(
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

// The platform's list lags: a VM that is absent from it counts as missing only
// after a grace period, and only if the list shows some other upstream's VM.
function applyList(
  state: MembershipState,
  given: {
    event: Extract<MembershipEvent, { type: "platformList" }>;
    nowMs: number;
  },
): MembershipState {
  const { event, nowMs } = given;
  const { vms: listed, expected } = event;
  const showsUpstreams = expected.some((vm) => listed[vm] !== undefined);
  const unlisted = showsUpstreams
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

// Checking all entries on each heartbeat would take quadratic time in their
// number.
function listAffected(
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
  options: MembershipOptions & { affected: readonly string[] },
): MembershipState {
  const { nowMs, leaseMs, affected } = options;
  const entries = { ...state.entries };
  for (const vm of affected) {
    const member = entries[vm];
    const alive = nowMs - member.heardMs < leaseMs;
    entries[vm] = alive ? markAlive(member, nowMs) : markLost(member, nowMs);
  }
  return { ...state, entries };
}

// Hysteresis: the mark is set above the higher threshold and cleared at the
// lower one, so that an entry near a threshold does not alternate.
function updateOverload(state: MembershipState): MembershipState {
  const listed = Object.values(state.entries).filter((one) => one.listed);
  const total = listed.reduce((sum, one) => sum + one.report.inFlight, 0);
  const mean = total / Math.max(1, listed.length);
  const entries: Record<string, EntryMember> = {};
  for (const member of Object.values(state.entries)) {
    const { inFlight } = member.report;
    const overloaded = member.overloaded
      ? inFlight > mean * OVERLOAD_CLEAR_FACTOR
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

function filterVms(
  pairs: readonly MemberPair[],
  test: (pair: MemberPair) => boolean | undefined,
): string[] {
  return pairs.filter(test).map(({ now }) => now.vm);
}

function haveVmsChanged(a: MembershipState, b: MembershipState): boolean {
  if (a.vms === b.vms) return false;
  const names = new Set([...Object.keys(a.vms), ...Object.keys(b.vms)]);
  return [...names].some((name) => a.vms[name] !== b.vms[name]);
}

/**
 * Gets the live state that is published to entries and callers.
 *
 * @param state - The membership.
 * @returns The live entries sorted by VM, and the VMs in any state but live.
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
