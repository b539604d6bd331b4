/**
 * Recovery of the control plane after failures, with real binaries.
 *
 * @module
 */

import { launchFleet } from "../demo/launch_fleet.ts";
import {
  type FailoverReport,
  freezeLeader,
  killAll,
  killLeader,
  stopLeader,
  wipeDisksInTurn,
} from "./failover_scenarios.ts";
import { printTable } from "./print_table.ts";

/** Number of entries in the measured fleet. */
const ENTRIES = 11;

/** Measures the recovery of the control plane. */
export async function measureFailover(): Promise<void> {
  await using fleet = await launchFleet({ entries: ENTRIES });
  const reports: FailoverReport[] = [];
  for (let round = 0; round < 5; round++) {
    reports.push(await killLeader(fleet, { changes: 300 }));
  }
  reports.push(await freezeLeader(fleet, { frozenMs: 5_000 }));
  reports.push(await stopLeader(fleet));
  reports.push(await killAll(fleet));
  reports.push(await wipeDisksInTurn(fleet));
  printTable(reports.map((report) => ({
    scenario: report.scenario,
    "accepted": report.accepted,
    "longest gap ms": Math.round(report.longestGapMs),
    "median gap ms": report.medianGapMs.toFixed(1),
  })));
}
