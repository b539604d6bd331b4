/**
 * Runs many seeds of a soak test, prints each report, and exits the process.
 *
 * @module
 */

import process from "node:process";

/** Number of seeds if the command line gives none. */
const DEFAULT_SEEDS = 50;

/** Options of {@link runSeeds}. */
export interface RunSeedsOptions<Report> {
  readonly runSeed: (seed: number) => Promise<Report>;
  readonly isBad: (report: Report) => boolean;
}

/**
 * Runs seeds from 1 up to the number on the command line; the exit code is 1 if a
 * report is bad.
 *
 * @param options - The soak test of one seed, and the check of its report.
 * @returns A promise that never resolves: the process exits.
 * @throws What the soak test throws.
 * @example
 * await runSeeds({ runSeed: (seed) => runSoak({ seed }), isBad });
 */
export async function runSeeds<Report>(
  { runSeed, isBad }: RunSeedsOptions<Report>,
): Promise<never> {
  const seeds = Number(process.argv[2] ?? DEFAULT_SEEDS);
  let failed = 0;
  for (let seed = 1; seed <= seeds; seed++) {
    const report = await runSeed(seed);
    const verdict = isBad(report) ? "BAD" : "good";
    if (verdict === "BAD") failed += 1;
    process.stdout.write(`${verdict} ${JSON.stringify(report)}\n`);
  }
  process.stdout.write(`${seeds - failed} passed, ${failed} failed\n`);
  process.exit(failed === 0 ? 0 : 1);
}
