/**
 * Runs schedules with new seeds for N minutes: `npm run soak -- --minutes N`. Prints
 * each failing seed; `--seed N` runs one seed again.
 *
 * @module
 */

import process from "node:process";
import { parseArgs } from "node:util";
import { runSchedule } from "./run_schedule.ts";

const { values } = parseArgs({
  options: {
    minutes: { type: "string", default: "1" },
    seed: { type: "string" },
  },
});

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function runSeed(seed: number): boolean {
  try {
    const report = runSchedule({ seed, replicas: seed % 3 === 0 ? 5 : 3 });
    if (values.seed !== undefined) print(JSON.stringify(report));
    return true;
  } catch (error) {
    print((error as Error).message);
    return false;
  }
}

function soak(): void {
  const endMs = Date.now() + Number(values.minutes) * 60_000;
  let seed = Date.now() % 1_000_000_000;
  const firstSeed = seed;
  let failures = 0;
  while (Date.now() < endMs) {
    if (!runSeed(seed)) failures += 1;
    seed += 1;
  }
  print(`${seed - firstSeed} seeds from ${firstSeed}, ${failures} failed`);
  if (failures > 0) process.exitCode = 1;
}

if (values.seed !== undefined) {
  if (!runSeed(Number(values.seed))) process.exitCode = 1;
} else soak();
