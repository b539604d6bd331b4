/**
 * Runs a stand-in for an engine in a process of its own, which a signal can suspend.
 *
 * @module
 */

import process from "node:process";
import {
  startLayerEngine,
  type StartLayerEngineOptions,
} from "../../standins/index.ts";

/** What the process tells the one that started it. */
export type EngineProcessReport =
  | { readonly type: "started"; readonly address: string }
  /** Ids of the requests that it has begun to run since the last report. */
  | { readonly type: "runs"; readonly requestIds: readonly string[] };

const REPORT_INTERVAL_MS = 20;

const options: StartLayerEngineOptions = JSON.parse(process.argv[2]);
const engine = await startLayerEngine(options);
let reportedRuns = 0;

function report(message: EngineProcessReport): void {
  process.send?.(message);
}

function reportRuns(): void {
  const runs = engine.runs.slice(reportedRuns);
  if (runs.length === 0) return;
  reportedRuns += runs.length;
  report({
    type: "runs",
    requestIds: runs.map(({ requestId }) => requestId),
  });
}

process.on("disconnect", () => process.exit());
setInterval(reportRuns, REPORT_INTERVAL_MS);
report({ type: "started", address: engine.address });
