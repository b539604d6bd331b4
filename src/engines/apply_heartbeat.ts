/**
 * Applies heartbeats to the registry.
 *
 * @module
 */

import {
  getUpstreamName,
  isEarlierIncarnation,
  recordIncarnation,
} from "./newest_incarnations.ts";
import type {
  EngineHeartbeat,
  EngineRecord,
  LeaveKind,
  RegisteredEngine,
  RegistryState,
} from "./types.ts";

/** Options of {@link applyHeartbeat}. */
export interface ApplyHeartbeatOptions {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** The recorded leave of this upstream, if any. */
  readonly leave?: LeaveKind;
}

/** The registry after a heartbeat. */
export interface AppliedHeartbeat {
  readonly state: RegistryState;
  /** The record to publish to gateways; undefined if nothing changed. */
  readonly changed: EngineRecord | undefined;
  /** Incarnations that the sender replaces. */
  readonly displacedIds: readonly string[];
}

/** Sequence number of an upstream's first heartbeat. */
const FIRST_SEQUENCE = 1;

/** Ms after which a claim expires: several heartbeat intervals. */
const CLAIM_LIFETIME_MS = 10_000;

/**
 * Ms between two heartbeats that prove that their sender is alive: heartbeats delayed by
 * a partition arrive together. Half of the shortest usual heartbeat interval.
 */
const MIN_HEARTBEAT_GAP_MS = 500;

/**
 * Applies a heartbeat. A late one changes nothing, and a recorded leave holds whatever
 * the heartbeat reports.
 *
 * @param state - The registry.
 * @param heartbeat - The heartbeat.
 * @param options - The time and the recorded leave.
 * @returns The registry and what changed.
 * @throws Nothing.
 * @example
 * const { state, changed } = applyHeartbeat(registry, heartbeat, { nowMs });
 */
export function applyHeartbeat(
  state: RegistryState,
  heartbeat: EngineHeartbeat,
  options: ApplyHeartbeatOptions,
): AppliedHeartbeat {
  const { nowMs, leave } = options;
  const known = state.engines.get(heartbeat.engineId);
  const unchanged = { state, changed: undefined, displacedIds: [] };
  if (leave === "gone") return unchanged;
  if (isEarlierIncarnation(heartbeat, state.newestRuns)) return unchanged;
  if (known && heartbeat.sequence <= known.sequence) return unchanged;
  const earlier = listEarlierIncarnations(state, heartbeat);
  const holder = known ? undefined : findHolder(state, heartbeat);
  const isOther = holder && !earlier.includes(holder.record.engineId);
  if (isOther && !winsAddress(state, heartbeat, { holder, nowMs })) {
    return { ...unchanged, state: recordClaim(state, heartbeat, nowMs) };
  }
  const { sequence, ...reported } = heartbeat;
  const slowness = known?.record.slowness;
  const record: EngineRecord = {
    ...reported,
    isLeaving: heartbeat.isLeaving || leave !== undefined,
    ...(slowness === undefined ? {} : { slowness }),
  };
  const next: RegisteredEngine = { record, sequence, lastHeartbeatMs: nowMs };
  const engines = new Map(state.engines).set(heartbeat.engineId, next);
  const claims = new Map(state.claims);
  claims.delete(heartbeat.engineId);
  const displacedIds = [
    ...earlier,
    ...(isOther ? [holder.record.engineId] : []),
  ];
  for (const id of displacedIds) engines.delete(id);
  const same = known !== undefined && isSameRecord(known.record, record);
  return {
    state: {
      engines,
      claims,
      newestRuns: recordIncarnation(state.newestRuns, record),
    },
    changed: same ? undefined : record,
    displacedIds,
  };
}

// A lookup instead of a search: each of 600 engines sends a heartbeat every 1.2 s.
function listEarlierIncarnations(
  { engines, newestRuns }: RegistryState,
  heartbeat: EngineHeartbeat,
): string[] {
  const newest = newestRuns?.get(getUpstreamName(heartbeat));
  const isEarlier = newest !== undefined &&
    newest.engineId !== heartbeat.engineId && engines.has(newest.engineId);
  return isEarlier ? [newest.engineId] : [];
}

function findHolder(
  state: RegistryState,
  { address }: EngineHeartbeat,
): RegisteredEngine | undefined {
  return [...state.engines.values()]
    .find(({ record }) => record.address === address);
}

// An address belongs to one upstream. A first heartbeat shows that its sender has just
// started there. Any other may be a late one of a terminated sender, so it needs a
// second heartbeat, and none of the present holder in between.
function winsAddress(
  state: RegistryState,
  { engineId, sequence }: EngineHeartbeat,
  { holder, nowMs }: { holder: RegisteredEngine; nowMs: number },
): boolean {
  if (sequence === FIRST_SEQUENCE) return true;
  const claim = state.claims?.get(engineId);
  return claim !== undefined && sequence > claim.sequence &&
    nowMs - claim.receivedMs >= MIN_HEARTBEAT_GAP_MS &&
    holder.lastHeartbeatMs < claim.receivedMs;
}

function recordClaim(
  state: RegistryState,
  { engineId, sequence }: EngineHeartbeat,
  nowMs: number,
): RegistryState {
  const known = state.claims?.get(engineId);
  if (known && sequence <= known.sequence) return state;
  const fresh = [...state.claims ?? []]
    .filter(([, claim]) => nowMs - claim.receivedMs < CLAIM_LIFETIME_MS);
  const claims = new Map(fresh).set(engineId, { sequence, receivedMs: nowMs });
  return { ...state, claims };
}

/**
 * Checks whether two records are equal.
 *
 * @param a - One record.
 * @param b - The other.
 * @returns Whether they are equal.
 * @throws Nothing.
 * @example
 * isSameRecord(known, record);
 */
export function isSameRecord(a: EngineRecord, b: EngineRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
