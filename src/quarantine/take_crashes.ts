/**
 * Takes reports of ended upstreams into the cases.
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
 * Takes reports into the cases. An end that a convicted request has caused speaks
 * against nobody else: what ran beside it is cleared of it, before and after.
 *
 * @param cases - The cases.
 * @param reports - The reports, in the order in which they came.
 * @param options - Cases that are kept at most.
 * @returns The cases after them; the same object where nothing changed.
 * @throws Nothing.
 * @example
 * const next = takeCrashes(cases, [{ requestKey, engineId, isTrial: false }]);
 */
export function takeCrashes(
  cases: CrashCases,
  reports: readonly JudgedReport[],
  options: { readonly maxCases?: number } = {},
): CrashCases {
  const { maxCases = MAX_CASES } = options;
  const next = reports.reduce(takeReport, cases);
  return next === cases ? cases : dropLeast(next, maxCases);
}

/**
 * Whether an upstream's end is put down to a request that was convicted for it.
 *
 * @param cases - The cases.
 * @param engineId - The upstream's run.
 * @returns Whether it is.
 * @throws Nothing.
 * @example
 * if (isExplained(cases, engineId)) return;
 */
export function isExplained(cases: CrashCases, engineId: string): boolean {
  return [...cases.values()].some((one) =>
    one.convictions > 0 && one.engineIds.includes(engineId)
  );
}

/**
 * Whether a request may run on trial only.
 *
 * @param crashCase - What is known against it.
 * @returns Whether it may.
 * @throws Nothing.
 * @example
 * if (needsTrial(crashCase)) return askForTrial();
 */
export function needsTrial(crashCase: Pick<CrashCase, "engineIds">): boolean {
  return crashCase.engineIds.length >= CRASHES_BEFORE_TRIAL;
}

function takeReport(cases: CrashCases, report: JudgedReport): CrashCases {
  const { requestKey, engineId, isTrial } = report;
  const known = cases.get(requestKey) ??
    { requestKey, engineIds: [], convictions: 0 };
  if (known.engineIds.includes(engineId)) return cases;
  if (isExplained(cases, engineId)) return cases;
  const convictions = known.convictions + (isTrial ? 1 : 0);
  const engineIds = [...known.engineIds, engineId].slice(-MAX_CASE_ENGINES);
  const next = new Map(cases).set(requestKey, {
    requestKey,
    engineIds,
    convictions,
  });
  return isTrial ? clearOthers(next, { requestKey, engineIds }) : next;
}

function clearOthers(
  cases: CrashCases,
  guilty: Pick<CrashCase, "requestKey" | "engineIds">,
): CrashCases {
  const next = new Map<string, CrashCase>();
  for (const [key, one] of cases) {
    const isOther = key !== guilty.requestKey && one.convictions === 0;
    const engineIds = isOther
      ? one.engineIds.filter((id) => !guilty.engineIds.includes(id))
      : one.engineIds;
    if (engineIds.length === one.engineIds.length) next.set(key, one);
    else if (engineIds.length > 0) next.set(key, { ...one, engineIds });
  }
  return next;
}

// A sort keeps the order of what weighs the same: the oldest stand first.
function dropLeast(cases: CrashCases, maxCases: number): CrashCases {
  if (cases.size <= maxCases) return cases;
  const weigh = (one: CrashCase) =>
    one.convictions * MAX_CASE_ENGINES + one.engineIds.length;
  const dropped = [...cases.values()]
    .sort((a, b) => weigh(a) - weigh(b))
    .slice(0, cases.size - maxCases);
  const next = new Map(cases);
  for (const { requestKey } of dropped) next.delete(requestKey);
  return next;
}
