/**
 * The leader's registry of upstreams: takes heartbeats, removes upstreams that time
 * out, and batches changes for gateways.
 *
 * @module
 */

import {
  applyHeartbeat,
  createHeartbeatClock,
  type EngineHeartbeat,
  type EngineRecord,
  getUpstreamName,
  isEarlierIncarnation,
  type LeaveKind,
  type NewestIncarnations,
  recordIncarnation,
  type RegistryState,
  removeEngines,
  removeUnresponsive,
} from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";

/** A change of the registry as it is published to gateways. */
export interface EngineChange {
  readonly engines: readonly EngineRecord[];
  readonly gone: readonly string[];
  /**
   * Those of `gone` that left without draining first: they still serve the requests
   * that they have. Absent where there are none.
   */
  readonly serving?: readonly string[];
}

/** Departed upstreams, as they are published to gateways. */
export type EngineDepartures = Pick<EngineChange, "gone" | "serving">;

/** Dependencies of {@link createEngineRegistry}. */
export interface CreateEngineRegistryOptions {
  /** Time without a heartbeat, in ms, after which an upstream is considered failed. */
  readonly silenceMs: number;
  /**
   * Time without a heartbeat of any upstream, in ms, after which time-outs of single
   * upstreams are paused, as the fault is likely on the way to the leader; infinite by
   * default.
   */
  readonly quietMs?: number;
  /** Monotonic time, in ms, that advances only while heartbeats can arrive. */
  readonly now: () => number;
  readonly getLeave: (engineId: string) => LeaveKind | undefined;
  /** Whether a service is configured; by default all are. */
  readonly isService?: (service: string) => boolean;
  readonly publish: (change: EngineChange) => void;
  /**
   * Called for each heartbeat, after the first, of an incarnation that is told apart
   * from others by its start time.
   */
  readonly onNextHeartbeat?: (engineId: string) => void;
  readonly log: Logger;
}

/** The leader's registry. */
export interface EngineRegistry {
  /** Empties the registry: a new leader starts from heartbeats that it receives. */
  reset(): void;
  /**
   * Adds upstreams that earlier leaders recorded and that have sent this one no
   * heartbeat yet, but for those that have departed. Those that send none are considered
   * failed after the usual time-out.
   */
  addRecorded(
    records: Iterable<EngineRecord>,
    options?: { readonly newestRuns?: NewestIncarnations },
  ): void;
  handleHeartbeat(beat: EngineHeartbeat): void;
  /** Whether an incarnation of an upstream is registered. */
  hasRun(engineId: string): boolean;
  /** The newest incarnation of an upstream, including a departed one. */
  findIncarnationId(name: string): string | undefined;
  /** Applies a leave that is committed in the log. */
  applyLeave(engineId: string, kind: LeaveKind): void;
  /** Removes upstreams that timed out; suspicions of gateways shorten the time-out. */
  tick(): void;
  addSuspicions(vm: string, engineIds: readonly string[]): void;
  /** Sets the slowness that an upstream reports, as a factor; 1 is the usual pace. */
  setPace(engineId: string, pace: number): void;
  getRecords(): EngineRecord[];
  /**
   * Upstreams that have departed since {@link reset}, or whose leave is committed though
   * an earlier leader recorded them; kept until this leader knows all upstreams.
   */
  getDepartures(): EngineDepartures;
  /** Whether heartbeats have arrived long enough since {@link reset} to know all. */
  knowsAll(): boolean;
}

/** Ms for which changes are combined into one message. */
const BATCH_MS = 30;

/** Gateways that have to suspect an upstream before the shorter time-out applies. */
const MIN_SUSPECTING_GATEWAYS = 2;

/** Ms after which a suspicion expires. */
const MAX_SUSPICION_AGE_MS = 2_000;

/** Factor on the usual times above which an upstream is published as slow. */
const SLOW_PACE_FACTOR = 1.5;

/**
 * Longest pause of time-outs while no upstream sends heartbeats, as a multiple of the
 * time-out of one.
 */
const MAX_PAUSE_TIMEOUTS = 3;

/** Time-out of a suspected upstream as a share of the usual one. */
const SUSPECTED_TIMEOUT_SHARE = 0.45;

/**
 * Creates an empty registry.
 *
 * @param options - The time-out, the clock, and the listener for changes.
 * @returns The registry.
 * @throws Nothing.
 * @example
 * const registry = createEngineRegistry(options);
 */
export function createEngineRegistry(
  options: CreateEngineRegistryOptions,
): EngineRegistry {
  const { now, log, silenceMs: heartbeatTimeoutMs, isService = () => true } =
    options;
  const beatClock = createHeartbeatClock({
    now,
    pauseAfterMs: options.quietMs ?? Infinity,
    maxPauseMs: MAX_PAUSE_TIMEOUTS * heartbeatTimeoutMs,
  });
  let state: RegistryState = { engines: new Map() };
  let listeningSinceMs = beatClock.now();
  let suspicions = new Map<string, Map<string, number>>();
  let changed = new Map<string, EngineRecord>();
  let gone = new Set<string>();
  let serving = new Set<string>();
  let departures = { gone: new Set<string>(), serving: new Set<string>() };
  let publishTimer: ReturnType<typeof setTimeout> | undefined;

  function schedulePublish(): void {
    publishTimer ??= setTimeout(() => {
      publishTimer = undefined;
      const change = {
        engines: [...changed.values()],
        ...toDepartures({ gone, serving }),
      };
      changed = new Map();
      gone = new Set();
      serving = new Set();
      options.publish(change);
    }, BATCH_MS);
  }

  function queueChange(record: EngineRecord): void {
    gone.delete(record.engineId);
    changed.set(record.engineId, record);
    schedulePublish();
  }

  function remove(ids: readonly string[], reason: string): void {
    state = removeEngines(state, ids);
    for (const engineId of ids) {
      changed.delete(engineId);
      gone.add(engineId);
      if (!knowsAll()) departures.gone.add(engineId);
      suspicions.delete(engineId);
      log("engineLost", { engineId, reason });
    }
    if (ids.length > 0) schedulePublish();
  }

  function removeEarlierIncarnations(): void {
    const earlier = [...state.engines.values()]
      .filter(({ record }) => isEarlierIncarnation(record, state.newestRuns));
    remove(
      earlier.map(({ record }) => record.engineId),
      "of an earlier incarnation",
    );
  }

  function findIncarnationId(name: string): string | undefined {
    const newest = state.newestRuns?.get(name)?.engineId;
    if (newest !== undefined) return newest;
    const known = [...state.engines.values()]
      .find(({ record }) => getUpstreamName(record) === name);
    return known?.record.engineId;
  }

  function handleHeartbeat(beat: EngineHeartbeat): void {
    const { engineId, service } = beat;
    beatClock.recordHeartbeat();
    const isNew = !state.engines.has(engineId);
    // It could take over the address of an upstream that really serves there.
    if (isNew && !isService(service)) {
      return log("serviceUnknown", { engineId, service });
    }
    const leave = options.getLeave(engineId);
    const previous = state;
    const taken = applyHeartbeat(state, beat, {
      nowMs: beatClock.now(),
      leave,
    });
    state = taken.state;
    const isAccepted =
      state.engines.get(engineId)?.sequence === beat.sequence &&
      taken.state !== previous;
    if (isAccepted && !isNew && beat.startedMs !== undefined) {
      options.onNextHeartbeat?.(engineId);
    }
    remove(taken.displacedIds, "replaced by another incarnation");
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
    queueChange(taken.changed);
  }

  function removeLeft(
    engineId: string,
    { isServing }: { readonly isServing: boolean },
  ): void {
    if (isServing) {
      serving.add(engineId);
      if (!knowsAll()) departures.serving.add(engineId);
    }
    remove([engineId], "left");
  }

  function knowsAll(): boolean {
    return beatClock.now() - listeningSinceMs >= heartbeatTimeoutMs;
  }

  function applyLeave(engineId: string, kind: LeaveKind): void {
    const engine = state.engines.get(engineId);
    if (kind === "gone") {
      return removeLeft(engineId, {
        isServing: engine?.record.isLeaving === false,
      });
    }
    if (!engine || engine.record.isLeaving) return;
    const record = { ...engine.record, isLeaving: true };
    const engines = new Map(state.engines);
    engines.set(engineId, { ...engine, record });
    state = { ...state, engines };
    log("engineChanged", { engineId, isLeaving: true });
    queueChange(record);
  }

  function addSuspicions(vm: string, engineIds: readonly string[]): void {
    for (const engineId of engineIds) {
      if (!state.engines.has(engineId)) continue;
      const suspectedAtMs = suspicions.get(engineId) ??
        new Map<string, number>();
      suspicions.set(engineId, suspectedAtMs.set(vm, now()));
    }
  }

  function isSuspected(engineId: string): boolean {
    const times = [...suspicions.get(engineId)?.values() ?? []];
    const fresh = times.filter((timeMs) =>
      now() - timeMs < MAX_SUSPICION_AGE_MS
    );
    return fresh.length >= MIN_SUSPECTING_GATEWAYS;
  }

  function tick(): void {
    const nowMs = beatClock.now();
    const silent = removeUnresponsive(state, {
      nowMs,
      heartbeatTimeoutMs,
    });
    remove(silent.lost, "silent");
    const suspectedTimeoutMs = heartbeatTimeoutMs * SUSPECTED_TIMEOUT_SHARE;
    const { lost } = removeUnresponsive(state, {
      nowMs,
      heartbeatTimeoutMs: suspectedTimeoutMs,
    });
    remove(lost.filter(isSuspected), "suspected");
  }

  return {
    reset() {
      // Keeps the newest incarnations, so that late heartbeats of earlier ones stay
      // ignored.
      state = { engines: new Map(), newestRuns: state.newestRuns };
      suspicions = new Map();
      changed = new Map();
      gone = new Set();
      serving = new Set();
      departures = { gone: new Set(), serving: new Set() };
      beatClock.recordHeartbeat();
      listeningSinceMs = beatClock.now();
    },
    addRecorded(records, { newestRuns: recorded = new Map() } = {}) {
      const lastHeartbeatMs = beatClock.now();
      const newestRuns = [...recorded].reduce(
        (runs, [name, run]) => recordIncarnation(runs, { name, ...run }),
        state.newestRuns ?? new Map(),
      );
      state = { ...state, newestRuns };
      removeEarlierIncarnations();
      const engines = new Map(state.engines);
      for (const record of records) {
        if (engines.has(record.engineId)) continue;
        if (isEarlierIncarnation(record, newestRuns)) continue;
        const leave = options.getLeave(record.engineId);
        if (leave === "gone") {
          removeLeft(record.engineId, { isServing: !record.isLeaving });
          continue;
        }
        // A leave may be committed in the log after the record.
        const isLeaving = record.isLeaving || leave !== undefined;
        const known = { ...record, isLeaving };
        engines.set(record.engineId, {
          record: known,
          lastHeartbeatMs,
          sequence: -1,
        });
        queueChange(known);
      }
      state = { ...state, engines };
    },
    handleHeartbeat,
    hasRun: (engineId) => state.engines.has(engineId),
    findIncarnationId,
    applyLeave,
    tick,
    setPace(engineId, pace) {
      const engine = state.engines.get(engineId);
      if (!engine) return;
      const { slowness: known, ...rest } = engine.record;
      const slowness = pace > SLOW_PACE_FACTOR ? Math.round(pace) : undefined;
      if (slowness === known) return;
      const record = slowness === undefined ? rest : { ...rest, slowness };
      const engines = new Map(state.engines);
      engines.set(engineId, { ...engine, record });
      state = { ...state, engines };
      log("engineChanged", { engineId, slowness: slowness ?? 1 });
      queueChange(record);
    },
    addSuspicions,
    knowsAll,
    getRecords: () => [...state.engines.values()].map(({ record }) => record),
    getDepartures: () => toDepartures(departures),
  };
}

function toDepartures(
  { gone, serving }: Readonly<Record<"gone" | "serving", ReadonlySet<string>>>,
): EngineDepartures {
  return {
    gone: [...gone],
    ...(serving.size > 0 ? { serving: [...serving] } : {}),
  };
}
