/**
 * Applies heartbeats to the registry.
 *
 * @module
 */

import { getUpstreamName, isOfEarlierRun, noteRun } from "./newest_runs.ts";
import type {
  EngineBeat,
  EngineRecord,
  LeaveKind,
  RegisteredEngine,
  RegistryState,
} from "./types.ts";

/** Options of {@link takeBeat}. */
export interface TakeBeatOptions {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** The recorded leave of this upstream, if any. */
  readonly leave?: LeaveKind;
}

/** The registry after a heartbeat. */
export interface TakenBeat {
  readonly state: RegistryState;
  /** The record to publish to gateways; undefined if nothing changed. */
  readonly changed: EngineRecord | undefined;
  /** Incarnations that the sender replaces. */
  readonly displacedIds: readonly string[];
}

/** Sequence number of an upstream's first heartbeat. */
const FIRST_SEQUENCE = 1;

/** Ms after which a claim expires: several heartbeat intervals. */
const CLAIM_AGE_MS = 10_000;

/**
 * Ms between two heartbeats that prove that their sender is alive: heartbeats delayed by
 * a partition arrive together. Half of the shortest usual heartbeat interval.
 */
const LEAST_BEAT_GAP_MS = 500;

/**
 * Applies a heartbeat. A late one changes nothing, and a recorded leave holds whatever
 * the heartbeat reports.
 *
 * @param state - The registry.
 * @param beat - The heartbeat.
 * @param options - The time and the recorded leave.
 * @returns The registry and what changed.
 * @throws Nothing.
 * @example
 * const { state, changed } = takeBeat(registry, beat, { nowMs });
 */
export function takeBeat(
  state: RegistryState,
  beat: EngineBeat,
  options: TakeBeatOptions,
): TakenBeat {
  const { nowMs, leave } = options;
  const known = state.engines.get(beat.engineId);
  const unchanged = { state, changed: undefined, displacedIds: [] };
  if (leave === "gone") return unchanged;
  if (isOfEarlierRun(beat, state.newestRuns)) return unchanged;
  if (known && beat.sequence <= known.sequence) return unchanged;
  const earlier = listEarlierRuns(state, beat);
  const holder = known ? undefined : findHolder(state, beat);
  const isOther = holder && !earlier.includes(holder.record.engineId);
  if (isOther && !winsAddress(state, beat, { holder, nowMs })) {
    return { ...unchanged, state: noteClaim(state, beat, nowMs) };
  }
  const { sequence, ...told } = beat;
  const slowness = known?.record.slowness;
  const record: EngineRecord = {
    ...told,
    isLeaving: beat.isLeaving || leave !== undefined,
    ...(slowness === undefined ? {} : { slowness }),
  };
  const next: RegisteredEngine = { record, sequence, heardMs: nowMs };
  const engines = new Map(state.engines).set(beat.engineId, next);
  const claims = new Map(state.claims);
  claims.delete(beat.engineId);
  const displacedIds = [
    ...earlier,
    ...(isOther ? [holder.record.engineId] : []),
  ];
  for (const id of displacedIds) engines.delete(id);
  const same = known !== undefined && isSameRecord(known.record, record);
  return {
    state: { engines, claims, newestRuns: noteRun(state.newestRuns, record) },
    changed: same ? undefined : record,
    displacedIds,
  };
}

// A lookup instead of a search: each of 600 engines sends a heartbeat every 1.2 s.
function listEarlierRuns(
  { engines, newestRuns }: RegistryState,
  beat: EngineBeat,
): string[] {
  const newest = newestRuns?.get(getUpstreamName(beat));
  const isEarlier = newest !== undefined &&
    newest.engineId !== beat.engineId && engines.has(newest.engineId);
  return isEarlier ? [newest.engineId] : [];
}

function findHolder(
  state: RegistryState,
  { address }: EngineBeat,
): RegisteredEngine | undefined {
  return [...state.engines.values()]
    .find(({ record }) => record.address === address);
}

// An address belongs to one upstream. A first heartbeat shows that its sender has just
// started there. Any other may be a late one of a terminated sender, so it needs a
// second heartbeat, and none of the present holder in between.
function winsAddress(
  state: RegistryState,
  { engineId, sequence }: EngineBeat,
  { holder, nowMs }: { holder: RegisteredEngine; nowMs: number },
): boolean {
  if (sequence === FIRST_SEQUENCE) return true;
  const claim = state.claims?.get(engineId);
  return claim !== undefined && sequence > claim.sequence &&
    nowMs - claim.heardMs >= LEAST_BEAT_GAP_MS &&
    holder.heardMs < claim.heardMs;
}

function noteClaim(
  state: RegistryState,
  { engineId, sequence }: EngineBeat,
  nowMs: number,
): RegistryState {
  const known = state.claims?.get(engineId);
  if (known && sequence <= known.sequence) return state;
  const fresh = [...state.claims ?? []]
    .filter(([, claim]) => nowMs - claim.heardMs < CLAIM_AGE_MS);
  const claims = new Map(fresh).set(engineId, { sequence, heardMs: nowMs });
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
