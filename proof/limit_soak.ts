/**
 * Runs many seeds of the soak test of rate limits; started by hand:
 * `npm run soak:limits -- 50`.
 *
 * @module
 */

import { runLimitSoak } from "../test/support/run_limit_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 16_000;

await runSeeds({
  runSeed: (seed) => runLimitSoak({ seed, lengthMs: LENGTH_MS }),
  isBad: ({ windows, worstShare, spoilt, ranTwice }) =>
    windows === 0 || worstShare > 1 || spoilt + ranTwice > 0,
});
