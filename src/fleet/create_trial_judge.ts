/**
 * Judges the crashes of trials: whether one shows that a suspect crashes upstreams, or
 * may have another cause.
 *
 * @module
 */

import { evictOldest } from "../collections/index.ts";
import {
  type CrashCase,
  type CrashReport,
  isPartKey,
  type JudgedReport,
} from "../quarantine/index.ts";

/** The trial to which a crash belongs. */
export interface JudgeTrialOptions {
  /** Suspects of the trial: the request if it is one, then parts of its prompt. */
  readonly requestKeys: readonly string[];
  /** Cases of other parts that are as much under suspicion. */
  readonly otherSuspects: readonly CrashCase[];
  /** Upstreams that crashed under the suspect before. */
  readonly engineIds: readonly string[];
}

/** Judges the crashes of trials. */
export interface TrialJudge {
  /** Records that upstreams ran a suspect part before it was suspected. */
  noteRunBefore(requestKey: string): void;
  /** Records that a part had just begun at an upstream when it crashed. */
  notePartAtCrash(report: CrashReport): void;
  /** Judges the crash of a trial. */
  judge(
    report: CrashReport,
    options: JudgeTrialOptions,
  ): Pick<JudgedReport, "isTrial" | "alsoOnTrial">;
  /** Forgets what is known of a suspect whose case is closed. */
  forget(requestKey: string): void;
}

/** Most crashed upstreams of which it is known what had just begun there. */
const MAX_CRASHED_UPSTREAMS = 100;

/**
 * Creates the judge. The upstream of a trial may crash for another reason, and a wrong
 * conviction holds back all requests with the part. So a part is convicted by its second
 * trial if upstreams ran it before, or if another suspect was in the same crashes.
 *
 * @returns The judge.
 * @throws Nothing.
 * @example
 * const { isTrial } = trialJudge.judge(report, options);
 */
export function createTrialJudge(): TrialJudge {
  const partsRunBefore = new Set<string>();
  // The upstream that crashed in the first trial of a suspect.
  const firstTrialEngineIds = new Map<string, string>();
  const partsAtCrash = new Map<string, Set<string>>();

  function isFirstTrial({ requestKey, engineId }: CrashReport): boolean {
    const firstEngineId = firstTrialEngineIds.get(requestKey) ?? engineId;
    firstTrialEngineIds.set(requestKey, firstEngineId);
    return firstEngineId === engineId;
  }

  function isDoubtful(
    requestKey: string,
    { otherSuspects, engineIds }: JudgeTrialOptions,
  ): boolean {
    if (!isPartKey(requestKey)) return false;
    return partsRunBefore.has(requestKey) ||
      otherSuspects.some((one) =>
        one.engineIds.some((id) => engineIds.includes(id))
      );
  }

  return {
    noteRunBefore: (requestKey) => void partsRunBefore.add(requestKey),
    notePartAtCrash({ requestKey, engineId }) {
      const parts = partsAtCrash.get(engineId) ?? new Set<string>();
      partsAtCrash.set(engineId, parts.add(requestKey));
      evictOldest(partsAtCrash, MAX_CRASHED_UPSTREAMS);
    },
    judge(report, options) {
      const { requestKey, engineId } = report;
      const { requestKeys: [first, ...others], otherSuspects } = options;
      // Where the request itself is a suspect, its crash says nothing of the parts.
      const isJudged = requestKey === first || isPartKey(first);
      const wasAlone = !otherSuspects.some((one) =>
        partsAtCrash.get(engineId)?.has(one.requestKey)
      );
      if (!isJudged || !wasAlone) return { isTrial: false };
      const needsSecondTrial = isDoubtful(requestKey, options);
      if (isFirstTrial(report) && needsSecondTrial) return { isTrial: false };
      if (others.length === 0) return { isTrial: true };
      const alsoOnTrial = [first, ...others].filter((key) =>
        key !== requestKey
      );
      return { isTrial: true, alsoOnTrial };
    },
    forget(requestKey) {
      partsRunBefore.delete(requestKey);
      firstTrialEngineIds.delete(requestKey);
    },
  };
}
