/**
 * Runs many seeds of the soak test of plain calls while upstreams stand still; started
 * by hand: `npm run soak:plain-pauses -- 5`.
 *
 * @module
 */

import process from "node:process";
import {
  isBadPlainRun,
  runPlainPauseSoak,
} from "../test/support/run_plain_pause_soak.ts";
import { runSeeds } from "./play_seeds.ts";

const LENGTH_MS = 20_000;

await runSeeds({
  runSeed: (seed) =>
    runPlainPauseSoak({
      seed,
      lengthMs: LENGTH_MS,
      onBadCall: (lines) =>
        lines.forEach((line) =>
          process.stdout.write(`${JSON.stringify(line)}\n`)
        ),
    }),
  isBad: isBadPlainRun,
});
