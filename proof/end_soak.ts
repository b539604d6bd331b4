/**
 * Runs many seeds of the soak test of processes that end and start; started by hand:
 * `npm run soak:ends -- 50`. Every tenth seed has many processes.
 *
 * @module
 */

import process from "node:process";
import { isBadEndRun, runEndSoak } from "../test/support/run_end_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 20_000;

const LARGE = { controls: 5, gateways: 45 };

const LARGE_INTERVAL = 10;

await runSeeds({
  runSeed: (seed) =>
    runEndSoak({
      seed,
      lengthMs: LENGTH_MS,
      onFailure: (trace) =>
        void process.stdout.write(`${JSON.stringify(trace)}\n`),
      ...(seed % LARGE_INTERVAL === 0
        ? LARGE
        : { controls: seed % 3 === 0 ? 5 : 3 }),
    }),
  isBad: isBadEndRun,
});
