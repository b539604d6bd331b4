/**
 * The upstreams as a gateway knows them: from the leader's reports, and from the
 * gateway's own observations.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import type { EngineRecord } from "../engines/index.ts";
import {
  type EngineLoads,
  type LeaderMessage,
  subtractLoads,
} from "../fleet/index.ts";
import type { PathPart } from "../layers/index.ts";
import type { Logger } from "../logs/index.ts";
import type { EngineNotices } from "./create_engine_notices.ts";
import type { UpstreamAddress } from "./create_liveness_check.ts";
import {
  type EngineView,
  getFailureShare,
  makeEngineView,
} from "./engine_view.ts";

/** The upstreams as a gateway knows them. */
export interface EngineTable {
  applyUpdate(message: LeaderMessage & { type: "engines" }): void;
  /** Updates the load of all gateways, as summed up by the leader. */
  updateLoads(loads: EngineLoads): void;
  /** Mean age, in ms, of the last loads that the leader reported. */
  getLoadsAgeMs(): number;
  /**
   * Requests of other gateways on engines that were lost since about the last report.
   */
  getDisplacedRequests(): number;
  /** Work that this gateway has in flight, for the report to the leader. */
  getLoads(): EngineLoads;
  /** Upstreams of a service that accept new work. */
  listUsable(service: string): EngineView[];
  /** Upstreams that would accept new work, but have asked this gateway to back off. */
  listBackedOff(service: string): EngineView[];
  /**
   * Whether an upstream is leaving, as reported by the leader or by itself. One that is
   * no longer registered may have left without a notice.
   */
  isLeaving(engineId: string): boolean;
  /**
   * Incarnations that announced to this gateway that they leave, unknown to the leader.
   */
  listUnreportedLeaving(): readonly string[];
  get(engineId: string): EngineView | undefined;
  /**
   * Whether an upstream has ended, as far as is known. One that left without draining
   * still serves its requests.
   */
  hasEnded(engineId: string): boolean;
  /**
   * Whether an upstream was found to refuse connections. One that is only no longer
   * registered may have been suspended, and go on.
   */
  isKnownEnded(engineId: string): boolean;
  /** Whether another registered upstream has the address of this one. */
  isAddressTaken(upstream: UpstreamAddress): boolean;
  /**
   * Records that an upstream refuses connections while others accept them. It counts as
   * ended, but no longer than for some seconds while it stays registered.
   */
  noteEnded(engineId: string): void;
  /** Adds a request to the load of the engines of its path. */
  addWork(path: readonly PathPart[], work: { tokens: number }): void;
  /** Removes a request from the load of the engines of its path. */
  removeWork(path: readonly PathPart[], work: { tokens: number }): void;
  /**
   * Counts a prompt that is being read over a path, until the function returned is
   * called.
   */
  beginPrefill(path: readonly PathPart[]): () => void;
  /** Prompts of this gateway that are being read across data centres. */
  getCrossPlacePrompts(): number;
  /**
   * Excludes an upstream for a while; for longer each time in a row. `isUnanswered`,
   * false by default, tells that the reason is a missing answer.
   */
  suspect(
    engineId: string,
    reason: string,
    options?: { readonly isUnanswered?: boolean },
  ): void;
  /** Records that an upstream answered a probe. */
  noteProbeAnswered(engineId: string): void;
  /** Upstreams of a service that are excluded because they did not answer. */
  listUnanswered(service: string): readonly EngineView[];
  /** Ends the exclusion of an upstream that answers again. */
  readmit(engineId: string): void;
  /** Ends the exclusion of an upstream that did not answer, and works after all. */
  noteWorking(engineId: string): void;
  /** Excludes an upstream that others found lost: the leader already knows. */
  excludeLost(engineId: string): void;
  /** Excludes an upstream for a moment: it had no free capacity. */
  noteFull(engineId: string): void;
  /** Records how slow an upstream reports itself to be; 1 where it is not slow. */
  noteSlowness(engineId: string, slowness: number): void;
  /** Records whether an answer succeeded. */
  noteAnswer(engineId: string, outcome: { failed: boolean }): void;
  /**
   * Upstreams suspected since the last call. Those for which `isReportable` returns
   * false are kept for a later call; by default, none is.
   */
  takeSuspects(
    isReportable?: (engine: EngineView) => boolean,
  ): readonly string[];
  /** Drops the suspicions against a service's upstreams that were not taken yet. */
  dropSuspects(service: string): void;
  /**
   * Uses the upstreams of a service again that were suspected since a time: the cause
   * was this gateway's own connectivity.
   */
  clearSuspicions(service: string, sinceMs: number): void;
  /** All registered upstreams of a service, also those left out. */
  list(service: string): readonly EngineView[];
  /** Services with registered upstreams. */
  listServices(): readonly string[];
  /** Numbers of registered upstreams, and of those left out after failures. */
  countLeftOut(service?: string): {
    readonly registered: number;
    readonly leftOut: number;
  };
  getSize(): number;
}

/** The notices of upstreams that the table takes into account. */
type TableNotices = Pick<
  EngineNotices,
  "isBackedOff" | "isLeaving" | "listLeaving"
>;

const NO_NOTICES: TableNotices = {
  isBackedOff: () => false,
  isLeaving: () => false,
  listLeaving: () => [],
};

/** Ms for which a suspected upstream is excluded at first. */
const MIN_SUSPECT_MS = 1_500;

/** Ms for which a suspected upstream is excluded at most. */
const MAX_SUSPECT_MS = 6_000;

/** Ms for which an upstream without free capacity is excluded. */
const FULL_MS = 200;

/**
 * Ms for which requests of a lost engine are missing from the leader's load reports:
 * gateways report to the leader three times a second, and it reports to them twice.
 */
const DISPLACED_RETENTION_MS = 1_000;

/**
 * Ms by which loads are older than the report that carries them, on average: gateways
 * report to the leader every 350 ms.
 */
const LOADS_LAG_MS = 200;

/**
 * Departed upstreams that still serve, and ended ones, that are kept; the oldest are
 * dropped first.
 */
const MAX_REMEMBERED = 1_000;

/**
 * Ms after which an upstream that refused connections but is still registered doesn't
 * count as ended: the leader receives its heartbeats. At the usual heartbeat interval of
 * 1.2 s, the leader removes a silent upstream within 3.1 s.
 */
const ENDED_CONFIRMATION_MS = 5_000;

/** Weight of the newest answer in the smoothed failure rate. */
const FAILURE_WEIGHT = 0.2;

/**
 * Creates an empty table.
 *
 * @param options - The clock, the log, a callback for removed engines, and the notices
 * of engines; no notices by default.
 * @returns The table.
 * @throws Nothing.
 * @example
 * const table = createEngineTable({ now, log, onRemoved });
 */
export function createEngineTable(
  options: {
    readonly now: () => number;
    readonly log: Logger;
    readonly onRemoved: (engineId: string) => void;
    readonly notices?: TableNotices;
  },
): EngineTable {
  const { now, log, onRemoved: onRemoved, notices = NO_NOTICES } = options;
  const engines = new Map<string, EngineView>();
  const serving = new Set<string>();
  // When upstreams were found to refuse connections, in ms.
  const ended = new Map<string, number>();
  const suspects = new Set<string>();
  let crossingPrompts = 0;
  // This gateway's part of the total that the leader reports.
  let reportedLoads: EngineLoads = {};
  let loadsReceivedMs = -Infinity;
  let displaced: { readonly atMs: number; readonly requests: number }[] = [];

  // Gateways that had requests on a lost engine send them to others.
  function noteDisplaced({ otherRequests }: EngineView): void {
    if (otherRequests === 0) return;
    const fresh = displaced.filter(isFresh);
    displaced = [...fresh, { atMs: now(), requests: otherRequests }];
  }

  function isFresh({ atMs }: { readonly atMs: number }): boolean {
    return now() - atMs < DISPLACED_RETENTION_MS;
  }

  function upsert(record: EngineRecord): void {
    const known = engines.get(record.engineId);
    if (known) {
      known.record = record;
      return;
    }
    // Where incarnations aren't told apart, the upstream has come back.
    ended.delete(record.engineId);
    engines.set(record.engineId, makeEngineView(record));
  }

  function addLoad(
    path: readonly PathPart[],
    work: { tokens: number; requests: number },
  ): void {
    const [first] = path;
    const firstEngine = engines.get(first.engineId);
    if (firstEngine) firstEngine.inFlight += work.requests;
    for (const { engineId } of path) {
      const engine = engines.get(engineId);
      if (engine) engine.tokensInFlight += work.tokens;
    }
  }

  function isKnownEnded(engineId: string): boolean {
    const endedMs = ended.get(engineId);
    if (endedMs === undefined) return false;
    return !engines.has(engineId) || now() - endedMs < ENDED_CONFIRMATION_MS;
  }

  function hasEnded(engineId: string): boolean {
    if (ended.has(engineId)) return isKnownEnded(engineId);
    return !engines.has(engineId) && !serving.has(engineId);
  }

  function crossesPlaces(path: readonly PathPart[]): boolean {
    const places = path.map(({ engineId }) =>
      engines.get(engineId)?.record.place
    );
    return new Set(places).size > 1;
  }

  function sumOwnLoads(): EngineLoads {
    const working = [...engines].filter(([, engine]) =>
      engine.inFlight + engine.tokensInFlight > 0
    );
    return Object.fromEntries(
      working.map(([engineId, { inFlight, tokensInFlight }]) => [
        engineId,
        { tokens: tokensInFlight, requests: inFlight },
      ]),
    );
  }

  function remove(engineId: string): void {
    const engine = engines.get(engineId);
    if (!engine) return;
    noteDisplaced(engine);
    engines.delete(engineId);
    onRemoved(engineId);
  }

  function exclude(
    engineId: string,
    reason: string,
    { isUnanswered = false }: { readonly isUnanswered?: boolean } = {},
  ): void {
    const engine = engines.get(engineId);
    if (!engine || engine.suspectUntilMs > now()) return;
    noteDisplaced(engine);
    engine.suspicions += 1;
    const leftOutMs = Math.min(
      MAX_SUSPECT_MS,
      MIN_SUSPECT_MS * 2 ** (engine.suspicions - 1),
    );
    engine.suspectedMs = now();
    engine.isUnanswered = isUnanswered;
    engine.suspectUntilMs = now() + leftOutMs;
    log("engineSuspected", { engineId, reason, leftOutMs });
  }

  function readmit(engineId: string): void {
    const engine = engines.get(engineId);
    if (!engine || engine.suspectUntilMs <= now()) return;
    const leftOutMs = Math.round(now() - engine.suspectedMs);
    engine.suspectUntilMs = 0;
    log("engineReadmitted", { engineId, leftOutMs });
  }

  // An upstream's own notice holds whatever the leader reports of that incarnation.
  function isLeaving({ record }: EngineView): boolean {
    return record.isLeaving || notices.isLeaving(record.engineId);
  }

  function listHealthy(service: string): EngineView[] {
    const nowMs = now();
    return [...engines.values()].filter((engine) =>
      engine.record.service === service && !isLeaving(engine) &&
      engine.suspectUntilMs <= nowMs
    );
  }

  function listRegistered(service: string): EngineView[] {
    return [...engines.values()]
      .filter(({ record }) => record.service === service);
  }

  const isBackedOff = ({ record }: EngineView) =>
    notices.isBackedOff(record.engineId);

  return {
    applyUpdate(
      { isWhole, engines: records, gone, serving: stillServing = [] },
    ) {
      stillServing.forEach((engineId) => serving.add(engineId));
      evictOldest(serving, MAX_REMEMBERED);
      gone.forEach(remove);
      records.forEach(upsert);
      if (!isWhole) return;
      const named = new Set(records.map(({ engineId }) => engineId));
      [...engines.keys()].filter((id) => !named.has(id)).forEach(remove);
    },
    updateLoads(loads) {
      loadsReceivedMs = now();
      const others = subtractLoads(loads, reportedLoads);
      for (const [engineId, engine] of engines) {
        engine.otherRequests = others[engineId]?.requests ?? 0;
        engine.otherTokens = others[engineId]?.tokens ?? 0;
        engine.tokensAtReport = reportedLoads[engineId]?.tokens ?? 0;
      }
    },
    getLoadsAgeMs: () => now() - loadsReceivedMs + LOADS_LAG_MS,
    getDisplacedRequests: () =>
      displaced.filter(isFresh)
        .reduce((sum, { requests }) => sum + requests, 0),
    getLoads() {
      reportedLoads = sumOwnLoads();
      return reportedLoads;
    },
    listUsable: (service) =>
      listHealthy(service).filter((engine) => !isBackedOff(engine)),
    listBackedOff: (service) => listHealthy(service).filter(isBackedOff),
    isLeaving(engineId) {
      const engine = engines.get(engineId);
      return engine === undefined || isLeaving(engine);
    },
    listUnreportedLeaving: () =>
      notices.listLeaving().filter((engineId) =>
        engines.get(engineId)?.record.isLeaving === false
      ),
    get: (engineId) => engines.get(engineId),
    hasEnded,
    isKnownEnded,
    isAddressTaken: ({ engineId, address }) =>
      [...engines.values()].some(({ record }) =>
        record.address === address && record.engineId !== engineId
      ),
    noteEnded(engineId) {
      ended.delete(engineId);
      ended.set(engineId, now());
      evictOldest(ended, MAX_REMEMBERED);
    },
    addWork: (path, { tokens }) => addLoad(path, { tokens, requests: 1 }),
    removeWork: (path, { tokens }) =>
      addLoad(path, { tokens: -tokens, requests: -1 }),
    beginPrefill(path) {
      const engine = engines.get(path[0].engineId);
      const crossing = crossesPlaces(path) ? 1 : 0;
      if (engine) engine.prefillingPrompts += 1;
      crossingPrompts += crossing;
      let isRead = false;
      return () => {
        if (isRead) return;
        isRead = true;
        if (engine) engine.prefillingPrompts -= 1;
        crossingPrompts -= crossing;
      };
    },
    getCrossPlacePrompts: () => crossingPrompts,
    suspect(engineId, reason, suspectOptions) {
      if (!engines.has(engineId)) return;
      suspects.add(engineId);
      exclude(engineId, reason, suspectOptions);
    },
    excludeLost: (engineId) =>
      exclude(engineId, "others found it lost", { isUnanswered: true }),
    noteProbeAnswered(engineId) {
      const engine = engines.get(engineId);
      if (engine) engine.probeAnsweredMs = now();
    },
    listUnanswered: (service) =>
      listRegistered(service).filter((engine) =>
        engine.isUnanswered && engine.suspectUntilMs > now() &&
        !isLeaving(engine)
      ),
    readmit,
    noteWorking(engineId) {
      if (engines.get(engineId)?.isUnanswered) readmit(engineId);
    },
    noteFull(engineId) {
      const engine = engines.get(engineId);
      if (engine) engine.fullUntilMs = now() + FULL_MS;
    },
    noteSlowness(engineId, slowness) {
      const engine = engines.get(engineId);
      if (!engine) return;
      engine.reportedSlowness = Math.max(1, slowness);
      engine.slownessReportedMs = now();
    },
    noteAnswer(engineId, { failed }) {
      const engine = engines.get(engineId);
      if (!engine) return;
      if (!failed) engine.suspicions = 0;
      const share = getFailureShare(engine, now());
      engine.failureShare = share +
        FAILURE_WEIGHT * ((failed ? 1 : 0) - share);
      engine.answeredMs = now();
    },
    takeSuspects(isReportable = () => true) {
      const taken = [...suspects].filter((engineId) => {
        const engine = engines.get(engineId);
        return engine === undefined || isReportable(engine);
      });
      taken.forEach((engineId) => suspects.delete(engineId));
      return taken;
    },
    dropSuspects(service) {
      for (const { record } of listRegistered(service)) {
        suspects.delete(record.engineId);
      }
    },
    clearSuspicions(service, sinceMs) {
      for (const engine of listRegistered(service)) {
        if (engine.suspectedMs < sinceMs) continue;
        engine.suspicions = 0;
        engine.suspectUntilMs = 0;
      }
    },
    list: listRegistered,
    listServices: () => [
      ...new Set([...engines.values()].map(({ record }) => record.service)),
    ],
    countLeftOut(service) {
      const registered = service === undefined
        ? [...engines.values()]
        : listRegistered(service);
      const leftOut = registered.filter(({ suspectUntilMs }) =>
        suspectUntilMs > now()
      );
      return { registered: registered.length, leftOut: leftOut.length };
    },
    getSize: () => engines.size,
  };
}
