/**
 * The leader's registry of upstreams: takes beats, drops the silent, gathers
 * what gateways have to be told.
 *
 * @module
 */

import {
  createBeatClock,
  type EngineBeat,
  type EngineRecord,
  getUpstreamName,
  isOfEarlierRun,
  type LeaveKind,
  type NewestRuns,
  noteRun,
  type RegistryState,
  removeEngines,
  removeSilent,
  takeBeat,
} from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";

/** What gateways are told. */
export interface EngineChange {
  readonly engines: readonly EngineRecord[];
  readonly gone: readonly string[];
  /**
   * Those of them that left without draining first: they still serve what they
   * have. Absent where there are none.
   */
  readonly serving?: readonly string[];
}

/** What the registry needs of its program. */
export interface CreateEngineRegistryOptions {
  /** Silence, in ms, after which an upstream counts as lost. */
  readonly silenceMs: number;
  /**
   * Time, in ms, without a beat of any upstream, after which silence says nothing of a
   * single one; never by default.
   */
  readonly quietMs?: number;
  /** Ms for which upstreams could be heard. */
  readonly now: () => number;
  readonly getLeave: (engineId: string) => LeaveKind | undefined;
  /** Whether a service is configured; all are by default. */
  readonly isService?: (service: string) => boolean;
  readonly publish: (change: EngineChange) => void;
  readonly log: Logger;
}

/** The leader's registry. */
export interface EngineRegistry {
  /** Forgets all: a new leader starts from what it hears itself. */
  reset(): void;
  /**
   * Adds what earlier leaders recorded and this one has not heard of yet; who
   * does not beat counts as lost after the usual silence.
   */
  addRecorded(
    records: Iterable<EngineRecord>,
    options?: { readonly newestRuns?: NewestRuns },
  ): void;
  take(beat: EngineBeat): void;
  /** Whether a run of an upstream is registered. */
  hasRun(engineId: string): boolean;
  /** The newest run of an upstream, also of one that is gone. */
  findRunId(name: string): string | undefined;
  /** Takes an accepted leave. */
  takeLeave(engineId: string, kind: LeaveKind): void;
  /** Drops the silent; a gateway's suspicion shortens the silence. */
  tick(): void;
  takeSuspects(vm: string, engineIds: readonly string[]): void;
  /** Takes how slow an upstream says it is; 1 where it is not. */
  takePace(engineId: string, pace: number): void;
  getRecords(): EngineRecord[];
  /** Whether beats came for long enough since {@link reset} to know all upstreams. */
  knowsAll(): boolean;
}

/** Ms for which changes are gathered into one message. */
const GATHER_MS = 30;

/** Gateways that have to suspect an upstream before its silence counts. */
const SUSPECTING_GATEWAYS = 2;

/** Ms after which a suspicion is forgotten. */
const SUSPICION_MS = 2_000;

/** Pace, as a factor on the usual times, from which on it counts as slow. */
const SLOW_PACE = 1.5;

/** Longest silence of all upstreams together that is excused, in silences of one. */
const SILENCES_OF_ALL = 3;

/** Share of the usual silence that is too long for a suspected upstream. */
const SUSPECT_SILENCE_SHARE = 0.45;

/**
 * Makes the registry, empty.
 *
 * @param options - The silence, the time, and who hears of changes.
 * @returns The registry.
 * @throws Nothing.
 * @example
 * const registry = createEngineRegistry(options);
 */
export function createEngineRegistry(
  options: CreateEngineRegistryOptions,
): EngineRegistry {
  const { now, log, silenceMs, isService = () => true } = options;
  const beatClock = createBeatClock({
    now,
    quietMs: options.quietMs ?? Infinity,
    maxStandMs: SILENCES_OF_ALL * silenceMs,
  });
  let state: RegistryState = { engines: new Map() };
  let hearsSinceMs = beatClock.now();
  let suspicions = new Map<string, Map<string, number>>();
  let changed = new Map<string, EngineRecord>();
  let gone = new Set<string>();
  let serving = new Set<string>();
  let gathering: ReturnType<typeof setTimeout> | undefined;

  function gather(): void {
    gathering ??= setTimeout(() => {
      gathering = undefined;
      const change = {
        engines: [...changed.values()],
        gone: [...gone],
        ...(serving.size > 0 ? { serving: [...serving] } : {}),
      };
      changed = new Map();
      gone = new Set();
      serving = new Set();
      options.publish(change);
    }, GATHER_MS);
  }

  function tell(record: EngineRecord): void {
    gone.delete(record.engineId);
    changed.set(record.engineId, record);
    gather();
  }

  function drop(ids: readonly string[], reason: string): void {
    state = removeEngines(state, ids);
    for (const engineId of ids) {
      changed.delete(engineId);
      gone.add(engineId);
      suspicions.delete(engineId);
      log("engineLost", { engineId, reason });
    }
    if (ids.length > 0) gather();
  }

  function dropEarlierRuns(): void {
    const earlier = [...state.engines.values()]
      .filter(({ record }) => isOfEarlierRun(record, state.newestRuns));
    drop(earlier.map(({ record }) => record.engineId), "of an earlier run");
  }

  function findRunId(name: string): string | undefined {
    const newest = state.newestRuns?.get(name)?.engineId;
    if (newest !== undefined) return newest;
    const known = [...state.engines.values()]
      .find(({ record }) => getUpstreamName(record) === name);
    return known?.record.engineId;
  }

  function take(beat: EngineBeat): void {
    const { engineId, service } = beat;
    beatClock.noteBeat();
    const isNew = !state.engines.has(engineId);
    // It would take an address from the upstream that really is there.
    if (isNew && !isService(service)) {
      return log("serviceUnknown", { engineId, service });
    }
    const leave = options.getLeave(engineId);
    const taken = takeBeat(state, beat, { nowMs: beatClock.now(), leave });
    state = taken.state;
    drop(taken.displacedIds, "replaced by another run");
    if (!taken.changed) return;
    const { address, isLeaving, layers } = taken.changed;
    log(isNew ? "engineJoined" : "engineChanged", {
      engineId,
      address,
      service,
      isLeaving,
      layers,
      sequence: beat.sequence,
    });
    tell(taken.changed);
  }

  function takeLeave(engineId: string, kind: LeaveKind): void {
    const engine = state.engines.get(engineId);
    if (kind === "gone") {
      if (engine?.record.isLeaving === false) serving.add(engineId);
      return drop([engineId], "left");
    }
    if (!engine || engine.record.isLeaving) return;
    const record = { ...engine.record, isLeaving: true };
    const engines = new Map(state.engines);
    engines.set(engineId, { ...engine, record });
    state = { ...state, engines };
    log("engineChanged", { engineId, isLeaving: true });
    tell(record);
  }

  function takeSuspects(vm: string, engineIds: readonly string[]): void {
    for (const engineId of engineIds) {
      if (!state.engines.has(engineId)) continue;
      const by = suspicions.get(engineId) ?? new Map<string, number>();
      suspicions.set(engineId, by.set(vm, now()));
    }
  }

  function isSuspected(engineId: string): boolean {
    const times = [...suspicions.get(engineId)?.values() ?? []];
    const fresh = times.filter((timeMs) => now() - timeMs < SUSPICION_MS);
    return fresh.length >= SUSPECTING_GATEWAYS;
  }

  function tick(): void {
    const nowMs = beatClock.now();
    const silent = removeSilent(state, { nowMs, silenceMs });
    drop(silent.lost, "silent");
    const shortMs = silenceMs * SUSPECT_SILENCE_SHARE;
    const { lost } = removeSilent(state, { nowMs, silenceMs: shortMs });
    drop(lost.filter(isSuspected), "suspected");
  }

  return {
    reset() {
      // What was heard of an earlier run is never news again.
      state = { engines: new Map(), newestRuns: state.newestRuns };
      suspicions = new Map();
      changed = new Map();
      gone = new Set();
      serving = new Set();
      beatClock.noteBeat();
      hearsSinceMs = beatClock.now();
    },
    addRecorded(records, { newestRuns: recorded = new Map() } = {}) {
      const heardMs = beatClock.now();
      const newestRuns = [...recorded].reduce(
        (runs, [name, run]) => noteRun(runs, { name, ...run }),
        state.newestRuns ?? new Map(),
      );
      state = { ...state, newestRuns };
      dropEarlierRuns();
      const engines = new Map(state.engines);
      for (const record of records) {
        if (engines.has(record.engineId)) continue;
        if (isOfEarlierRun(record, newestRuns)) continue;
        engines.set(record.engineId, { record, heardMs, sequence: -1 });
        tell(record);
      }
      state = { ...state, engines };
    },
    take,
    hasRun: (engineId) => state.engines.has(engineId),
    findRunId,
    takeLeave,
    tick,
    takePace(engineId, pace) {
      const engine = state.engines.get(engineId);
      if (!engine) return;
      const { slowness: known, ...rest } = engine.record;
      const slowness = pace > SLOW_PACE ? Math.round(pace) : undefined;
      if (slowness === known) return;
      const record = slowness === undefined ? rest : { ...rest, slowness };
      const engines = new Map(state.engines);
      engines.set(engineId, { ...engine, record });
      state = { ...state, engines };
      log("engineChanged", { engineId, slowness: slowness ?? 1 });
      tell(record);
    },
    takeSuspects,
    knowsAll: () => beatClock.now() - hearsSinceMs >= silenceMs,
    getRecords: () => [...state.engines.values()].map(({ record }) => record),
  };
}
