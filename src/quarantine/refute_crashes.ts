/**
 * Withdraws reported crashes of upstreams that turn out to be running.
 *
 * @module
 */

import type { CrashCase, CrashCases, CrashReport } from "./types.ts";

/**
 * Withdraws crash reports from the cases. If a case was convicted by the newest crash
 * and that one is withdrawn, so is the conviction. Cases that were cleared by it aren't
 * restored.
 *
 * @param cases - The cases.
 * @param reports - The reports to withdraw.
 * @returns The updated cases; the same object if nothing changed.
 * @throws Nothing.
 * @example
 * const next = refuteCrashes(cases, [{ requestKey, engineId }]);
 */
export function refuteCrashes(
  cases: CrashCases,
  reports: readonly CrashReport[],
): CrashCases {
  return reports.reduce(refuteCrash, cases);
}

function refuteCrash(
  cases: CrashCases,
  { requestKey, engineId }: CrashReport,
): CrashCases {
  const known = cases.get(requestKey);
  if (!known?.engineIds.includes(engineId)) return cases;
  const engineIds = known.engineIds.filter((id) => id !== engineId);
  const isNewest = known.engineIds.at(-1) === engineId;
  const convictions = Math.max(0, known.convictions - (isNewest ? 1 : 0));
  const next = new Map<string, CrashCase>(cases);
  if (engineIds.length === 0) next.delete(requestKey);
  else next.set(requestKey, { ...known, engineIds, convictions });
  if (convictions === 0) removeFromJointConvictions(next, requestKey);
  return next;
}

function removeFromJointConvictions(
  cases: Map<string, CrashCase>,
  cleared: string,
): void {
  for (const [key, one] of cases) {
    if (!one.heldWith?.includes(cleared)) continue;
    const heldWith = one.heldWith.filter((other) => other !== cleared);
    cases.set(key, { ...one, heldWith });
  }
}
