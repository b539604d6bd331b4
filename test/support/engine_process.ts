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
  | { readonly type: "started" }
  /** Ids of the requests that it ran, in order. */
  | { readonly type: "runs"; readonly requestIds: readonly string[] };

const options: StartLayerEngineOptions = JSON.parse(process.argv[2]);
const engine = await startLayerEngine(options);

function report(message: EngineProcessReport): void {
  process.send?.(message);
}

process.on("message", () =>
  report({
    type: "runs",
    requestIds: engine.runs.map(({ requestId }) => requestId),
  }));
process.on("disconnect", () => process.exit());
report({ type: "started" });
