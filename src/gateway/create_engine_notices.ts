/**
 * What upstreams said of themselves in their answers to this gateway: that they
 * ask to be left alone for a while, and that they leave. Both are of one run of an upstream, and outlast
 * whatever the leader tells of it meanwhile.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import type { EngineNotice } from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** What upstreams said of themselves, by their runs. */
export interface EngineNotices {
  /** Takes what one said in an answer. */
  take(engineId: string, notice: EngineNotice): void;
  /** Ms for which one still wants nothing of this gateway; 0 where it doesn't. */
  getBackOffLeftMs(engineId: string): number;
  /** Whether one has asked to be left alone, or takes few requests right after that. */
  isBackedOff(engineId: string): boolean;
  /** Whether one has said that it leaves. */
  isLeaving(engineId: string): boolean;
  /** Runs that have said that they leave. */
  listLeaving(): readonly string[];
  /** Whether one may be asked how it is; notes that it is. */
  takeQuestion(engineId: string): boolean;
  /**
   * Notes that a request is sent to one. What is returned is called once it has
   * answered, or once it is known that it won't.
   */
  beginSend(engineId: string): (answer: { readonly isTaken: boolean }) => void;
  /** Upstreams that have asked to be left alone. */
  countBackedOff(): number;
}

/** What the notices need of their program. */
export interface CreateEngineNoticesOptions {
  /**
   * Steady time, in ms. A clock that gains, as one does that counts suspensions and
   * takes a step of the time of day for one, would end a back-off too soon.
   */
  readonly steadyNow: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count">;
  /** How gateways come back; by default spread, and one request first. */
  readonly comeBack?: ComeBack;
}

/** How gateways come back to an upstream after a back-off. */
export interface ComeBack {
  /** Share of a back-off by which it is drawn out at random, at most. */
  readonly spreadShare: number;
  /** Requests that may wait for its answer at first; doubled by each it takes. */
  readonly firstWindow: number;
}

/** Window from which on an upstream is used as any other. */
const OPEN_WINDOW = 16;

/** Leaving runs that are remembered; the oldest are forgotten first. */
const MAX_LEAVING = 5_000;

/** Questions during a back-off: whether it is there at all. */
const QUESTIONS_PER_BACK_OFF = 1;

/**
 * Gateways that have been asked to back off in the same moment don't come back in the
 * same one, and each with one request first. In a model of 11 gateways before 3
 * upstreams under 0.8 of what they can bear, 0.44 of requests are answered in time
 * where all come back together, 0.57 spread, 0.73 with one request first, 0.77 with
 * both (npm run measure -- rest).
 */
const COME_BACK: ComeBack = { spreadShare: 0.1, firstWindow: 1 };

/** Ms after its end at which a back-off is forgotten, whether or not anybody came back. */
const FORGET_AFTER_MS = 60_000;

interface BackOff {
  /** Steady time, in ms, at which it ends. */
  endMs: number;
  /** Requests that may wait for an answer once it has ended. */
  window: number;
  /** Requests that wait for an answer, of those sent since the back-off was asked for. */
  pending: number;
  questionsLeft: number;
}

/**
 * Makes the notices, empty.
 *
 * @param options - The time, chance, logs and metrics.
 * @returns The notices.
 * @throws Nothing.
 * @example
 * const notices = createEngineNotices({ steadyNow, random, log, metrics });
 */
export function createEngineNotices(
  options: CreateEngineNoticesOptions,
): EngineNotices {
  const { steadyNow, random, log, metrics, comeBack = COME_BACK } = options;
  const backOffs = new Map<string, BackOff>();
  const leaving = new Set<string>();

  function isRunning({ endMs }: BackOff): boolean {
    return endMs > steadyNow();
  }

  function getBackOff(engineId: string): BackOff {
    const known = backOffs.get(engineId);
    if (known) return known;
    const backOff = { endMs: 0, window: 0, pending: 0, questionsLeft: 0 };
    backOffs.set(engineId, backOff);
    return backOff;
  }

  function forgetOld(): void {
    const oldestMs = steadyNow() - FORGET_AFTER_MS;
    for (const [engineId, { endMs }] of backOffs) {
      if (endMs < oldestMs) backOffs.delete(engineId);
    }
  }

  function takeBackOff(engineId: string, backOffMs: number): void {
    forgetOld();
    const spreadMs = backOffMs * comeBack.spreadShare * random();
    const backOff = getBackOff(engineId);
    if (!isRunning(backOff)) backOff.questionsLeft = QUESTIONS_PER_BACK_OFF;
    // A shorter one that is asked for later doesn't end a longer one.
    backOff.endMs = Math.max(backOff.endMs, steadyNow() + backOffMs + spreadMs);
    backOff.window = comeBack.firstWindow;
    metrics.count("engines.rests_asked");
    log("engineAsksForBackOff", { engineId, backOffMs });
  }

  function takeLeave(engineId: string): void {
    if (leaving.has(engineId)) return;
    leaving.add(engineId);
    forgetOldest(leaving, MAX_LEAVING);
    log("engineSaysLeaving", { engineId });
  }

  // An answer to what was sent after an earlier back-off says nothing of a later one.
  function widen(engineId: string, backOff: BackOff): void {
    backOff.window *= 2;
    const isNewest = backOffs.get(engineId) === backOff;
    if (isNewest && backOff.window >= OPEN_WINDOW) backOffs.delete(engineId);
  }

  return {
    take(engineId, { backOffMs, isLeaving }) {
      if (isLeaving) takeLeave(engineId);
      if (backOffMs !== undefined) takeBackOff(engineId, backOffMs);
    },
    getBackOffLeftMs(engineId) {
      const endMs = backOffs.get(engineId)?.endMs ?? -Infinity;
      return Math.max(0, endMs - steadyNow());
    },
    isBackedOff(engineId) {
      const backOff = backOffs.get(engineId);
      if (!backOff) return false;
      return isRunning(backOff) || backOff.pending >= backOff.window;
    },
    isLeaving: (engineId) => leaving.has(engineId),
    listLeaving: () => [...leaving],
    takeQuestion(engineId) {
      const backOff = backOffs.get(engineId);
      if (!backOff || !isRunning(backOff)) return true;
      if (backOff.questionsLeft === 0) return false;
      backOff.questionsLeft -= 1;
      return true;
    },
    beginSend(engineId) {
      const backOff = backOffs.get(engineId);
      if (!backOff) return () => {};
      backOff.pending += 1;
      let isAnswered = false;
      return ({ isTaken }) => {
        if (isAnswered) return;
        isAnswered = true;
        backOff.pending -= 1;
        if (isTaken && !isRunning(backOff)) widen(engineId, backOff);
      };
    },
    countBackedOff: () => [...backOffs.values()].filter(isRunning).length,
  };
}
