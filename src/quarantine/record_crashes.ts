/**
 * Records reported crashes of upstreams in the cases of requests and parts of prompts.
 *
 * @module
 */

import {
  CRASHES_BEFORE_TRIAL,
  MAX_CASE_ENGINES,
  MAX_CASES,
} from "./constants.ts";
import { isPartKey } from "./get_part_keys.ts";
import type {
  CrashCase,
  CrashCases,
  CrashReport,
  JudgedReport,
} from "./types.ts";

/**
 * Records crash reports in the cases. A crash that a convicted request has caused
 * counts against no other request: earlier reports of it are removed from their cases,
 * and later ones are ignored.
 *
 * @param cases - The cases.
 * @param reports - The reports, in order of arrival.
 * @param options - Maximum number of cases.
 * @returns The updated cases; the same object if nothing changed.
 * @throws Nothing.
 * @example
 * const next = recordCrashes(cases, [{ requestKey, engineId, isTrial: false }]);
 */
export function recordCrashes(
  cases: CrashCases,
  reports: readonly JudgedReport[],
  options: { readonly maxCases?: number } = {},
): CrashCases {
  const { maxCases = MAX_CASES } = options;
  const draft = new Map(cases);
  let hasChanged = false;
  for (const report of reports) {
    if (!isNewEvidence(draft, report)) continue;
    recordCrash(draft, report);
    hasChanged = true;
  }
  return hasChanged ? evictLeastSuspect(draft, maxCases) : cases;
}

/**
 * Whether a crash is attributed to a request that was convicted.
 *
 * @param cases - The cases.
 * @param engineId - The upstream's incarnation.
 * @returns Whether it is.
 * @throws Nothing.
 * @example
 * if (isCrashAttributed(cases, engineId)) return;
 */
export function isCrashAttributed(
  cases: CrashCases,
  engineId: string,
): boolean {
  for (const one of cases.values()) {
    if (one.convictions > 0 && one.engineIds.includes(engineId)) return true;
  }
  return false;
}

/**
 * Whether a crash report adds to the cases. A run that was sent before earlier crashes
 * of a part were known is no further evidence against it: upstreams that fail together
 * all run what many requests share. A part that needs a trial also collects crashes for
 * which another one was convicted, so that a wrong conviction can be withdrawn.
 *
 * @param cases - The cases.
 * @param report - The report.
 * @returns Whether it adds to them.
 * @throws Nothing.
 * @example
 * if (isNewEvidence(cases, report)) pendingReports.push(report);
 */
export function isNewEvidence(
  cases: CrashCases,
  { requestKey, engineId, knownCrashes = Infinity }: CrashReport,
): boolean {
  const known = cases.get(requestKey);
  if (known?.engineIds.includes(engineId)) return false;
  if (known && knownCrashes < known.engineIds.length) return false;
  const isRepeated = known && isPartKey(requestKey) && needsTrial(known);
  return isRepeated || !isCrashAttributed(cases, engineId);
}

/**
 * Whether a request may run on trial only.
 *
 * @param crashCase - The case of the request or of a part of its prompt.
 * @returns Whether it may run on trial only.
 * @throws Nothing.
 * @example
 * if (needsTrial(crashCase)) return requestTrial();
 */
export function needsTrial(crashCase: Pick<CrashCase, "engineIds">): boolean {
  return crashCase.engineIds.length >= CRASHES_BEFORE_TRIAL;
}

function recordCrash(
  draft: Map<string, CrashCase>,
  report: JudgedReport,
): void {
  const { requestKey, engineId, isTrial, alsoOnTrial = [] } = report;
  const known = draft.get(requestKey);
  const engineIds = [...known?.engineIds ?? [], engineId]
    .slice(-MAX_CASE_ENGINES);
  const convictions = (known?.convictions ?? 0) + (isTrial ? 1 : 0);
  const heldWith = isTrial ? alsoOnTrial.filter(isPartKey) : known?.heldWith;
  const isJoint = isPartKey(requestKey) && heldWith && heldWith.length > 0;
  draft.set(requestKey, {
    requestKey,
    engineIds,
    convictions,
    ...(isJoint ? { heldWith } : {}),
  });
  if (isTrial) {
    clearOtherCases(draft, { requestKey, engineIds }, alsoOnTrial);
  }
}

// A conviction that rests on a crash which is now explained otherwise is withdrawn.
function clearOtherCases(
  draft: Map<string, CrashCase>,
  convicted: Pick<CrashCase, "requestKey" | "engineIds">,
  alsoOnTrial: readonly string[],
): void {
  for (const [key, one] of draft) {
    if (key === convicted.requestKey || alsoOnTrial.includes(key)) continue;
    const engineIds = one.engineIds
      .filter((id) => !convicted.engineIds.includes(id));
    if (engineIds.length === one.engineIds.length) continue;
    if (engineIds.length === 0) {
      draft.delete(key);
      continue;
    }
    const isNewestKept = engineIds.at(-1) === one.engineIds.at(-1);
    const convictions = Math.max(0, one.convictions - (isNewestKept ? 0 : 1));
    draft.set(key, { ...one, engineIds, convictions });
  }
}

// The sort is stable, so that the oldest of equal cases come first.
function evictLeastSuspect(cases: CrashCases, maxCases: number): CrashCases {
  if (cases.size <= maxCases) return cases;
  const getWeight = (one: CrashCase) =>
    one.convictions * MAX_CASE_ENGINES + one.engineIds.length;
  const evicted = [...cases.values()]
    .sort((a, b) => getWeight(a) - getWeight(b))
    .slice(0, cases.size - maxCases);
  const next = new Map(cases);
  for (const { requestKey } of evicted) next.delete(requestKey);
  return next;
}
