/**
 * Runs many seeds of the soak test of overload; started by hand:
 * `npm run soak:overload -- 50`.
 *
 * @module
 */

import {
  listOverloadFaults,
  runOverloadSoak,
} from "../test/support/run_overload_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 12_000;

await runSeeds({
  runSeed: (seed) => runOverloadSoak({ seed, lengthMs: LENGTH_MS }),
  isBad: (report) => listOverloadFaults(report).length > 0,
});
