/**
 * Runs many seeds of the soak test of engines that stand still; started by hand:
 * `npm run soak:pauses -- 50`. Every tenth seed has many processes.
 *
 * @module
 */

import process from "node:process";
import { isBadRun, runPauseSoak } from "../test/support/run_pause_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 15_000;

const LARGE = { gateways: 12, engines: 60 };

const LARGE_INTERVAL = 10;

await runSeeds({
  runSeed: (seed) =>
    runPauseSoak({
      seed,
      lengthMs: LENGTH_MS,
      onBadStream: (lines) =>
        lines.forEach((line) =>
          process.stdout.write(`${JSON.stringify(line)}\n`)
        ),
      ...(seed % LARGE_INTERVAL === 0 ? LARGE : {}),
    }),
  isBad: isBadRun,
});
