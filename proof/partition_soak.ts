/**
 * Runs many seeds of the soak test of partitions; started by hand:
 * `npm run soak:partitions -- 50`.
 *
 * @module
 */

import {
  isBadRun,
  runPartitionSoak,
} from "../test/support/run_partition_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 10_000;

await runSeeds({
  runSeed: (seed) => runPartitionSoak({ seed, lengthMs: LENGTH_MS }),
  isBad: isBadRun,
});
