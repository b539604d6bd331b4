/**
 * Runs many seeds of the soak test of crashing requests; started by hand:
 * `npm run soak:crashes -- 50`.
 *
 * @module
 */

import {
  MAX_CRASHES,
  MAX_LATE_CRASHES,
  MAX_PART_CRASHES,
} from "../test/support/crash_soak_limits.ts";
import { runCrashSoak } from "../test/support/run_crash_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 8_000;

await runSeeds({
  runSeed: (seed) => runCrashSoak({ seed, lengthMs: LENGTH_MS }),
  isBad: (report) =>
    report.wronglyHeld + report.spoilt + report.ranTwice > 0 ||
    report.lateEnds > MAX_LATE_CRASHES ||
    report.endsByPart > MAX_PART_CRASHES ||
    Object.values(report.endsByBody).some((ends) => ends > MAX_CRASHES),
});
