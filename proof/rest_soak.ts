/**
 * Runs many seeds of the soak test of back-off and leaving; started by hand:
 * `npm run soak:rests -- 50`.
 *
 * @module
 */

import {
  MAX_REQUESTS_IN_BACK_OFF,
  runRestSoak,
} from "../test/support/run_rest_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 8_000;

await runSeeds({
  runSeed: (seed) => runRestSoak({ seed, lengthMs: LENGTH_MS }),
  isBad: ({ worstRest, lateAtHearer, lateAnywhere, spoilt, ranTwice }) =>
    worstRest > MAX_REQUESTS_IN_BACK_OFF ||
    lateAtHearer + lateAnywhere + spoilt + ranTwice > 0,
});
