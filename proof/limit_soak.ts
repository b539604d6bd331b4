/**
 * Plays many seeds of the soak of engines that name rate limits; started by hand:
 * `npm run soak:limits -- 50`.
 *
 * @module
 */

import { runLimitSoak } from "../test/support/run_limit_soak.ts";
import { playSeeds } from "./play_seeds.ts";

const LENGTH_MS = 16_000;

await playSeeds({
  play: (seed) => runLimitSoak({ seed, lengthMs: LENGTH_MS }),
  isBad: ({ windows, worstShare, spoilt, ranTwice }) =>
    windows === 0 || worstShare > 1 || spoilt + ranTwice > 0,
});
