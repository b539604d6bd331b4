/**
 * The upstreams as a gateway knows them: what the leader told, and what the
 * gateway itself saw.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import type { EngineRecord } from "../engines/index.ts";
import {
  type EngineLoads,
  type LeaderMessage,
  subtractLoads,
} from "../fleet/index.ts";
import type { PathPart } from "../layers/index.ts";
import type { Logger } from "../logs/index.ts";
import type { EngineNotices } from "./create_engine_notices.ts";
import {
  type EngineView,
  getFailureShare,
  makeEngineView,
} from "./engine_view.ts";

/** The upstreams as a gateway knows them. */
export interface EngineTable {
  take(message: LeaderMessage & { type: "engines" }): void;
  /** Takes what all gateways have in flight, as the leader sums it up. */
  takeLoads(loads: EngineLoads): void;
  /** Age, in ms, of the loads that the leader last told of, on average. */
  getLoadsAgeMs(): number;
  /** Requests of other gateways on engines that were lost since about then. */
  getDisplacedRequests(): number;
  /** What this gateway has in flight; the leader is told so. */
  getLoads(): EngineLoads;
  /** Upstreams of a service that take new work. */
  listUsable(service: string): EngineView[];
  /** Those that would take it, but want nothing of this gateway for now. */
  listBackedOff(service: string): EngineView[];
  /**
   * Whether one leaves, by what the leader or it itself has said. One that is no
   * longer registered may have left without a notice.
   */
  isLeaving(engineId: string): boolean;
  /** Runs that said so to this gateway, and of which the leader doesn't know yet. */
  listUntoldLeaves(): readonly string[];
  get(engineId: string): EngineView | undefined;
  /**
   * Whether one has ended, as far as is known. One that left without draining still
   * serves what it has.
   */
  hasEnded(engineId: string): boolean;
  /** Notes that one has surely ended, whatever the leader still tells of it. */
  noteEnded(engineId: string): void;
  /** Counts a request in on the engines of its path. */
  addWork(path: readonly PathPart[], work: { tokens: number }): void;
  /** Counts a request out again. */
  removeWork(path: readonly PathPart[], work: { tokens: number }): void;
  /** Counts a prompt that is read over a path until what it returns is called. */
  beginPrompt(path: readonly PathPart[]): () => void;
  /** Prompts of this gateway that are read across data centres. */
  getCrossingPrompts(): number;
  /** Leaves an upstream out for a while; longer each time in a row. */
  suspect(engineId: string, reason: string): void;
  /** The same for one that others found lost: the leader knows already. */
  takeLost(engineId: string): void;
  /** Leaves an upstream out for a moment: it had no room. */
  noteFull(engineId: string): void;
  /** Notes how slow it says that it is; 1 where it is not. */
  notePace(engineId: string, pace: number): void;
  /** Notes how an answer ended. */
  noteAnswer(engineId: string, outcome: { failed: boolean }): void;
  /** Upstreams suspected since the last call. */
  takeSuspects(): readonly string[];
  getSize(): number;
}

/** What upstreams have said of themselves, as far as the table goes by it. */
type NoticesInForce = Pick<
  EngineNotices,
  "isBackedOff" | "isLeaving" | "listLeaving"
>;

const NO_NOTICES: NoticesInForce = {
  isBackedOff: () => false,
  isLeaving: () => false,
  listLeaving: () => [],
};

/** Ms for which a suspected upstream is left out at first. */
const SUSPECT_MS = 1_500;

/** Ms for which it is left out at most. */
const MAX_SUSPECT_MS = 6_000;

/** Ms for which an upstream that had no room is not asked again. */
const FULL_MS = 200;

/**
 * Ms for which requests of a lost engine are not yet in what the leader tells:
 * gateways tell it three times a second, and it tells them twice.
 */
const DISPLACED_AGE_MS = 1_000;

/**
 * Ms by which loads are older than the news of them, on average: gateways tell the
 * leader each 350 ms.
 */
const LOADS_LAG_MS = 200;

/**
 * Gone upstreams that still serve, and ended ones, which are remembered; the oldest
 * go first.
 */
const MAX_REMEMBERED = 1_000;

/** Weight of the newest answer in the smoothed share of failures. */
const FAILURE_WEIGHT = 0.2;

/**
 * Makes the table, empty.
 *
 * @param options - The time, who hears of engines that are gone, and what they said
 * of themselves; nothing by default.
 * @returns The table.
 * @throws Nothing.
 * @example
 * const table = createEngineTable({ now, log, onGone });
 */
export function createEngineTable(
  options: {
    readonly now: () => number;
    readonly log: Logger;
    readonly onGone: (engineId: string) => void;
    readonly notices?: NoticesInForce;
  },
): EngineTable {
  const { now, log, onGone, notices = NO_NOTICES } = options;
  const engines = new Map<string, EngineView>();
  const serving = new Set<string>();
  const ended = new Set<string>();
  let suspects = new Set<string>();
  let crossingPrompts = 0;
  // Part of what the leader tells of all gateways.
  let toldLoads: EngineLoads = {};
  let loadsTakenMs = -Infinity;
  let displaced: { readonly atMs: number; readonly requests: number }[] = [];

  // Whoever sent requests to an engine that is lost sends them elsewhere.
  function noteDisplaced({ otherRequests }: EngineView): void {
    if (otherRequests === 0) return;
    const fresh = displaced.filter(isFresh);
    displaced = [...fresh, { atMs: now(), requests: otherRequests }];
  }

  function isFresh({ atMs }: { readonly atMs: number }): boolean {
    return now() - atMs < DISPLACED_AGE_MS;
  }

  function put(record: EngineRecord): void {
    const known = engines.get(record.engineId);
    if (known) {
      known.record = record;
      return;
    }
    // Where runs aren't told apart, it is there again.
    ended.delete(record.engineId);
    engines.set(record.engineId, makeEngineView(record));
  }

  function count(
    path: readonly PathPart[],
    work: { tokens: number; requests: number },
  ): void {
    const [first] = path;
    const begins = engines.get(first.engineId);
    if (begins) begins.inFlight += work.requests;
    for (const { engineId } of path) {
      const engine = engines.get(engineId);
      if (engine) engine.tokensInFlight += work.tokens;
    }
  }

  function crosses(path: readonly PathPart[]): boolean {
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
    onGone(engineId);
  }

  function leaveOut(engineId: string, reason: string): void {
    const engine = engines.get(engineId);
    if (!engine || engine.suspectUntilMs > now()) return;
    noteDisplaced(engine);
    engine.suspicions += 1;
    const leftOutMs = Math.min(
      MAX_SUSPECT_MS,
      SUSPECT_MS * 2 ** (engine.suspicions - 1),
    );
    engine.suspectUntilMs = now() + leftOutMs;
    log("engineSuspected", { engineId, reason, leftOutMs });
  }

  // What an upstream said itself holds whatever the leader tells of that run.
  function isLeaving({ record }: EngineView): boolean {
    return record.isLeaving || notices.isLeaving(record.engineId);
  }

  function listSound(service: string): EngineView[] {
    const nowMs = now();
    return [...engines.values()].filter((engine) =>
      engine.record.service === service && !isLeaving(engine) &&
      engine.suspectUntilMs <= nowMs
    );
  }

  const isBackedOff = ({ record }: EngineView) =>
    notices.isBackedOff(record.engineId);

  return {
    take({ isWhole, engines: records, gone, serving: stillServing = [] }) {
      stillServing.forEach((engineId) => serving.add(engineId));
      forgetOldest(serving, MAX_REMEMBERED);
      gone.forEach(remove);
      records.forEach(put);
      if (!isWhole) return;
      const named = new Set(records.map(({ engineId }) => engineId));
      [...engines.keys()].filter((id) => !named.has(id)).forEach(remove);
    },
    takeLoads(loads) {
      loadsTakenMs = now();
      const others = subtractLoads(loads, toldLoads);
      for (const [engineId, engine] of engines) {
        engine.otherRequests = others[engineId]?.requests ?? 0;
        engine.otherTokens = others[engineId]?.tokens ?? 0;
        engine.tokensThen = toldLoads[engineId]?.tokens ?? 0;
      }
    },
    getLoadsAgeMs: () => now() - loadsTakenMs + LOADS_LAG_MS,
    getDisplacedRequests: () =>
      displaced.filter(isFresh)
        .reduce((sum, { requests }) => sum + requests, 0),
    getLoads() {
      toldLoads = sumOwnLoads();
      return toldLoads;
    },
    listUsable: (service) =>
      listSound(service).filter((engine) => !isBackedOff(engine)),
    listBackedOff: (service) => listSound(service).filter(isBackedOff),
    isLeaving(engineId) {
      const engine = engines.get(engineId);
      return engine === undefined || isLeaving(engine);
    },
    listUntoldLeaves: () =>
      notices.listLeaving().filter((engineId) =>
        engines.get(engineId)?.record.isLeaving === false
      ),
    get: (engineId) => engines.get(engineId),
    hasEnded: (engineId) =>
      ended.has(engineId) || !engines.has(engineId) && !serving.has(engineId),
    noteEnded(engineId) {
      ended.add(engineId);
      forgetOldest(ended, MAX_REMEMBERED);
    },
    addWork: (path, { tokens }) => count(path, { tokens, requests: 1 }),
    removeWork: (path, { tokens }) =>
      count(path, { tokens: -tokens, requests: -1 }),
    beginPrompt(path) {
      const engine = engines.get(path[0].engineId);
      const crossing = crosses(path) ? 1 : 0;
      if (engine) engine.unreadPrompts += 1;
      crossingPrompts += crossing;
      let isRead = false;
      return () => {
        if (isRead) return;
        isRead = true;
        if (engine) engine.unreadPrompts -= 1;
        crossingPrompts -= crossing;
      };
    },
    getCrossingPrompts: () => crossingPrompts,
    suspect(engineId, reason) {
      if (!engines.has(engineId)) return;
      suspects.add(engineId);
      leaveOut(engineId, reason);
    },
    takeLost: (engineId) => leaveOut(engineId, "others found it lost"),
    noteFull(engineId) {
      const engine = engines.get(engineId);
      if (engine) engine.fullUntilMs = now() + FULL_MS;
    },
    notePace(engineId, pace) {
      const engine = engines.get(engineId);
      if (!engine) return;
      engine.toldPace = Math.max(1, pace);
      engine.toldPaceMs = now();
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
    takeSuspects() {
      const taken = [...suspects];
      suspects = new Set();
      return taken;
    },
    getSize: () => engines.size,
  };
}
