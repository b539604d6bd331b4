/**
 * Takes a heartbeat into the registry.
 *
 * @module
 */

import type {
  EngineBeat,
  EngineRecord,
  LeaveKind,
  RegisteredEngine,
  RegistryState,
} from "./types.ts";

/** What a beat is judged by. */
export interface TakeBeatOptions {
  /** Monotonic time, in ms. */
  readonly nowMs: number;
  /** What is recorded of this upstream's leaving, if anything. */
  readonly leave?: LeaveKind;
}

/** The registry after a beat. */
export interface TakenBeat {
  readonly state: RegistryState;
  /** What gateways have to be told; undefined where nothing changed. */
  readonly changed: EngineRecord | undefined;
}

/**
 * Takes a heartbeat; a late one changes nothing, and a recorded leave holds
 * whatever the beat says.
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
  if (leave === "gone") return { state, changed: undefined };
  if (known && beat.sequence <= known.sequence) {
    return { state, changed: undefined };
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
  const same = known !== undefined && isSameRecord(known.record, record);
  return { state: { engines }, changed: same ? undefined : record };
}

/**
 * Compares what two records say.
 *
 * @param a - A record.
 * @param b - Another one.
 * @returns Whether they say the same.
 * @throws Nothing.
 * @example
 * isSameRecord(known, record);
 */
export function isSameRecord(a: EngineRecord, b: EngineRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b);
}
