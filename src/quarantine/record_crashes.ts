/**
 * Records reported crashes of upstreams in the cases of requests.
 *
 * @module
 */

import {
  CRASHES_BEFORE_TRIAL,
  MAX_CASE_ENGINES,
  MAX_CASES,
} from "./constants.ts";
import type { CrashCase, CrashCases, JudgedReport } from "./types.ts";

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
  const next = reports.reduce(recordCrash, cases);
  return next === cases ? cases : evictLeastSuspect(next, maxCases);
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
  return [...cases.values()].some((one) =>
    one.convictions > 0 && one.engineIds.includes(engineId)
  );
}

/**
 * Whether a request may run on trial only.
 *
 * @param crashCase - The request's case.
 * @returns Whether it may run on trial only.
 * @throws Nothing.
 * @example
 * if (needsTrial(crashCase)) return requestTrial();
 */
export function needsTrial(crashCase: Pick<CrashCase, "engineIds">): boolean {
  return crashCase.engineIds.length >= CRASHES_BEFORE_TRIAL;
}

function recordCrash(cases: CrashCases, report: JudgedReport): CrashCases {
  const { requestKey, engineId, isTrial } = report;
  const known = cases.get(requestKey) ??
    { requestKey, engineIds: [], convictions: 0 };
  if (known.engineIds.includes(engineId)) return cases;
  if (isCrashAttributed(cases, engineId)) return cases;
  const convictions = known.convictions + (isTrial ? 1 : 0);
  const engineIds = [...known.engineIds, engineId].slice(-MAX_CASE_ENGINES);
  const next = new Map(cases).set(requestKey, {
    requestKey,
    engineIds,
    convictions,
  });
  return isTrial ? clearOtherCases(next, { requestKey, engineIds }) : next;
}

function clearOtherCases(
  cases: CrashCases,
  convicted: Pick<CrashCase, "requestKey" | "engineIds">,
): CrashCases {
  const next = new Map<string, CrashCase>();
  for (const [key, one] of cases) {
    const isOther = key !== convicted.requestKey && one.convictions === 0;
    const engineIds = isOther
      ? one.engineIds.filter((id) => !convicted.engineIds.includes(id))
      : one.engineIds;
    if (engineIds.length === one.engineIds.length) next.set(key, one);
    else if (engineIds.length > 0) next.set(key, { ...one, engineIds });
  }
  return next;
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
