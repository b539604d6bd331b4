/**
 * Runs many seeds of the soak test of configuration changes; started by hand:
 * `npm run soak:configs -- 50`.
 *
 * @module
 */

import {
  type ConfigSoakReport,
  runConfigSoak,
} from "../test/support/run_config_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 10_000;

await runSeeds<ConfigSoakReport>({
  runSeed: (seed) => runConfigSoak({ seed, lengthMs: LENGTH_MS }),
  isBad: ({ acknowledged, takenInvalid, reverted, foreign, misrouted }) =>
    acknowledged === 0 || takenInvalid + reverted + foreign + misrouted > 0,
});
