/**
 * The gateway's part of the quarantine: knows which requests ended upstreams,
 * here and elsewhere, and whether one may run.
 *
 * @module
 */

import { forgetOldest } from "../collections/index.ts";
import type { LeaderMessage, ToldCase, TrialWish } from "../fleet/index.ts";
import {
  type CrashReport,
  MAX_TRIAL_MS,
  needsTrial,
  TRIAL_MS,
} from "../quarantine/index.ts";

/** Whether a request may run. */
export type QuarantineVerdict =
  | { readonly type: "free" }
  /** It may run once the leader has given out a trial. */
  | { readonly type: "trial" }
  /** It may come again after so many ms. */
  | { readonly type: "held"; readonly leftMs: number };

/** What the leader is told with the next beat; fields are absent where empty. */
export interface QuarantineTold {
  readonly crashes?: readonly CrashReport[];
  readonly proved?: readonly string[];
  readonly trialsEnded?: readonly string[];
  readonly trialsWanted?: readonly TrialWish[];
}

/** The gateway's part of the quarantine. */
export interface Quarantine {
  judge(requestKey: string): QuarantineVerdict;
  /** Whether any upstream ended under a request. */
  isSuspect(requestKey: string): boolean;
  /** Notes that an upstream ended when it had just begun a request. */
  noteCrash(report: CrashReport): void;
  /** Resolves once all gateways are told, or after a moment at most. */
  untilTold(requestKey: string): Promise<void>;
  /** Notes that an upstream has run a request well. */
  noteProved(requestKey: string): void;
  /**
   * The upstream where a request may begin its trial, once one is given out. The
   * leader is asked for one at these upstreams meanwhile.
   */
  takeTrial(wish: TrialWish): string | undefined;
  /** Ends a trial: another try of the request may have the next one. */
  endTrial(requestKey: string): void;
  /** Notes where a suspected request was sent. */
  noteSent(sent: CrashReport): void;
  /** Upstreams where another suspected request of this gateway just began. */
  listTaken(requestKey: string): readonly string[];
  /** Takes all that a leader knows, in place of what another one told. */
  takeWhole(cases: readonly ToldCase[]): void;
  /** Takes what changed. */
  takeCases(message: LeaderMessage & { type: "cases" }): void;
  takeGrant(message: LeaderMessage & { type: "trial" }): void;
  getTold(): QuarantineTold;
  /** Suspected requests, and those of them that are held back. */
  count(): { readonly suspects: number; readonly held: number };
}

/** What the quarantine needs of its gateway. */
export interface CreateQuarantineOptions {
  /** Called when the leader is to be told at once. */
  readonly onNews: () => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Ms for which a report counts here, and is told, while the leader's list lacks it. */
const REPORT_AGE_MS = 30_000;

/** Reports that wait to be told; the oldest are dropped first. */
const MAX_REPORTS = 500;

/**
 * Ms that a request waits after an upstream's end until all are told: two round
 * trips and two syncs of a disk, and some more.
 */
const MAX_TELL_WAIT_MS = 150;

/** Ms between two looks whether all are told. */
const TELL_POLL_MS = 5;

/**
 * Ms for which an upstream's good run speaks for a request, also for one that comes
 * later: what many ask alike at the same time is not at fault where some of it
 * is lost together with upstreams.
 */
const PROOF_AGE_MS = 30_000;

/** Proofs that are kept; the oldest are dropped first. */
const MAX_PROOFS = 2_000;

/** Ms for which a wish for a trial is told. */
const WISH_AGE_MS = 300;

/** Ms within which two suspected requests don't begin at the same upstream. */
const APART_MS = 500;

interface HeldCase {
  readonly engineIds: ReadonlySet<string>;
  readonly heldUntilMs: number;
}

/**
 * Makes the quarantine, nobody suspected.
 *
 * @param options - Who hears of news, and the time.
 * @returns The quarantine.
 * @throws Nothing.
 * @example
 * const verdict = quarantine.judge(call.requestKey);
 */
export function createQuarantine(
  options: CreateQuarantineOptions,
): Quarantine {
  const { onNews, now } = options;
  let told = new Map<string, HeldCase>();
  let reports: (CrashReport & { readonly atMs: number })[] = [];
  const proofs = new Map<string, number>();
  const wishes = new Map<string, TrialWish & { readonly atMs: number }>();
  const grants = new Map<string, { engineId: string; untilMs: number }>();
  // Tries of one request that come together each want a trial; one has it.
  const onTrialUntilMs = new Map<string, number>();
  let trialsEnded = new Set<string>();
  let sent: (CrashReport & { readonly atMs: number })[] = [];

  function readCase({ engineIds, heldMs }: ToldCase): HeldCase {
    return {
      engineIds: new Set(engineIds),
      heldUntilMs: heldMs === 0 ? -Infinity : now() + heldMs,
    };
  }

  function listEnds(requestKey: string): string[] {
    const own = reports.filter((one) => one.requestKey === requestKey)
      .map(({ engineId }) => engineId);
    const all = [...told.get(requestKey)?.engineIds ?? [], ...own];
    return [...new Set(all)];
  }

  function isProved(requestKey: string): boolean {
    return now() - (proofs.get(requestKey) ?? -Infinity) < PROOF_AGE_MS;
  }

  function isTold({ requestKey, engineId }: CrashReport): boolean {
    return told.get(requestKey)?.engineIds.has(engineId) ?? false;
  }

  // An end for which another request was convicted speaks against nobody else.
  function isExplained({ engineId }: CrashReport): boolean {
    return [...told.values()].some((one) =>
      one.heldUntilMs > now() && one.engineIds.has(engineId)
    );
  }

  function listUntold(): typeof reports {
    reports = reports.filter((one) =>
      now() - one.atMs < REPORT_AGE_MS && !isTold(one) && !isExplained(one)
    );
    return reports;
  }

  function isOnTrial(requestKey: string): boolean {
    return now() < (onTrialUntilMs.get(requestKey) ?? -Infinity);
  }

  // Who wished for it may have left: its upstream is free for others.
  function giveBack(requestKey: string): void {
    grants.delete(requestKey);
    trialsEnded.add(requestKey);
  }

  function dropOldWishes(): void {
    for (const [key, { atMs }] of wishes) {
      if (now() - atMs >= WISH_AGE_MS) wishes.delete(key);
    }
    [...grants.keys()].filter((key) => !wishes.has(key)).forEach(giveBack);
  }

  function listWishes(): TrialWish[] {
    dropOldWishes();
    return [...wishes.values()]
      .map(({ requestKey, engineIds }) => ({ requestKey, engineIds }));
  }

  function takeChange(
    { cases, cleared }: Pick<
      LeaderMessage & { type: "cases" },
      "cases" | "cleared"
    >,
  ): void {
    for (const one of cases) told.set(one.requestKey, readCase(one));
    for (const key of cleared) told.delete(key);
    reports = reports.filter((one) => !cleared.includes(one.requestKey));
    // What speaks for a request that others suspect is told at once.
    if (cases.some((one) => isProved(one.requestKey))) onNews();
  }

  return {
    judge(requestKey) {
      if (isProved(requestKey)) return { type: "free" };
      const leftMs = (told.get(requestKey)?.heldUntilMs ?? 0) - now();
      if (leftMs > 0) return { type: "held", leftMs };
      const engineIds = listEnds(requestKey);
      return { type: needsTrial({ engineIds }) ? "trial" : "free" };
    },
    isSuspect: (requestKey) =>
      !isProved(requestKey) && listEnds(requestKey).length > 0,
    noteCrash({ requestKey, engineId }) {
      if (isProved(requestKey)) return;
      const isKnown = listEnds(requestKey).includes(engineId);
      if (isKnown) return;
      reports = [...listUntold(), { requestKey, engineId, atMs: now() }]
        .slice(-MAX_REPORTS);
      onNews();
    },
    async untilTold(requestKey) {
      const untilMs = now() + MAX_TELL_WAIT_MS;
      const isOpen = () =>
        listUntold().some((one) => one.requestKey === requestKey);
      while (isOpen() && now() < untilMs) {
        await new Promise((resolve) => setTimeout(resolve, TELL_POLL_MS));
      }
    },
    noteProved(requestKey) {
      proofs.delete(requestKey);
      proofs.set(requestKey, now());
      forgetOldest(proofs, MAX_PROOFS);
      reports = reports.filter((one) => one.requestKey !== requestKey);
      if (told.has(requestKey)) onNews();
    },
    takeTrial(wish) {
      const { requestKey } = wish;
      if (isOnTrial(requestKey)) return undefined;
      const grant = grants.get(requestKey);
      grants.delete(requestKey);
      if (grant && now() < grant.untilMs) {
        wishes.delete(requestKey);
        onTrialUntilMs.set(requestKey, now() + MAX_TRIAL_MS);
        return grant.engineId;
      }
      const isNew = !wishes.has(requestKey);
      wishes.set(requestKey, { ...wish, atMs: now() });
      if (isNew) onNews();
      return undefined;
    },
    endTrial(requestKey) {
      onTrialUntilMs.delete(requestKey);
      trialsEnded.add(requestKey);
      onNews();
    },
    noteSent({ requestKey, engineId }) {
      const fresh = sent.filter(({ atMs }) => now() - atMs < APART_MS);
      sent = [...fresh, { requestKey, engineId, atMs: now() }];
    },
    listTaken: (requestKey) =>
      sent
        .filter((one) =>
          one.requestKey !== requestKey && now() - one.atMs < APART_MS
        )
        .map(({ engineId }) => engineId),
    takeWhole(cases) {
      told = new Map();
      takeChange({ cases, cleared: [] });
    },
    takeCases: takeChange,
    takeGrant({ requestKey, engineId, askedMs }) {
      // One wish may be told twice, and answered twice.
      if (isOnTrial(requestKey)) return;
      grants.set(requestKey, { engineId, untilMs: askedMs + TRIAL_MS });
      dropOldWishes();
      if (trialsEnded.has(requestKey)) onNews();
    },
    getTold() {
      const crashes = listUntold()
        .map(({ requestKey, engineId }) => ({ requestKey, engineId }));
      const proved = [...told.keys()].filter(isProved);
      const trialsWanted = listWishes();
      const ended = [...trialsEnded];
      trialsEnded = new Set();
      return {
        ...(crashes.length > 0 ? { crashes } : {}),
        ...(proved.length > 0 ? { proved } : {}),
        ...(ended.length > 0 ? { trialsEnded: ended } : {}),
        ...(trialsWanted.length > 0 ? { trialsWanted } : {}),
      };
    },
    count() {
      const held = [...told.values()].filter((one) => one.heldUntilMs > now());
      return { suspects: told.size, held: held.length };
    },
  };
}
