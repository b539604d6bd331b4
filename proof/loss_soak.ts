/**
 * Runs many seeds of the schedule of losses; started by hand:
 * `npm run soak:losses -- 50`. Every third seed tolerates two losses at once, every
 * second one has elections beside them, and two of four have partitions.
 *
 * @module
 */

import { runSeeds } from "./play_seeds.ts";
import {
  type LossScheduleReport,
  runLossSchedule,
} from "./run_loss_schedule.ts";

/** Mean time, in ms, between two elections without a loss. */
const ELECTION_INTERVAL_MS = 3_000;

type Report = LossScheduleReport | { readonly failure: string };

async function runSeed(seed: number): Promise<Report> {
  const toleratedLosses = seed % 3 === 0 ? 2 : 1;
  const electionIntervalMs = seed % 2 === 0 ? ELECTION_INTERVAL_MS : undefined;
  const hasPartitions = seed % 4 >= 2;
  try {
    return await runLossSchedule({
      seed,
      toleratedLosses,
      electionIntervalMs,
      hasPartitions,
    });
  } catch (error) {
    return { failure: (error as Error).message };
  }
}

await runSeeds<Report>({ runSeed, isBad: (report) => "failure" in report });
