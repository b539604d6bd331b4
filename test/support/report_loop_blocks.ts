/**
 * Reports how long the event loop of a process was blocked; loaded before its program.
 *
 * @module
 */

import { monitorEventLoopDelay } from "node:perf_hooks";
import process from "node:process";

const RESOLUTION_MS = 2;

const REPORT_INTERVAL_MS = 100;

const NS_PER_MS = 1e6;

const delays = monitorEventLoopDelay({ resolution: RESOLUTION_MS });
delays.enable();
setInterval(() => {
  const blockMs = Math.round(delays.max / NS_PER_MS);
  delays.reset();
  process.stdout.write(`${JSON.stringify({ id: "LOOP", blockMs })}\n`);
}, REPORT_INTERVAL_MS).unref();
