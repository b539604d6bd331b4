/**
 * Runs many seeds of the schedule of losses; started by hand:
 * `npm run soak:losses -- 50`. Every third seed tolerates two losses at once.
 *
 * @module
 */

import { runSeeds } from "./play_seeds.ts";
import {
  type LossScheduleReport,
  runLossSchedule,
} from "./run_loss_schedule.ts";

type Report = LossScheduleReport | { readonly failure: string };

async function runSeed(seed: number): Promise<Report> {
  const toleratedLosses = seed % 3 === 0 ? 2 : 1;
  try {
    return await runLossSchedule({ seed, toleratedLosses });
  } catch (error) {
    return { failure: (error as Error).message };
  }
}

await runSeeds<Report>({ runSeed, isBad: (report) => "failure" in report });
