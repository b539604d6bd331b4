/**
 * A control process in a process of its own, with settings from its first argument.
 *
 * @module
 */

import process from "node:process";
import { decodeConfig } from "../../platform/decode_config.ts";
import { runFleetControl } from "../../src/fleet/index.ts";
import { createMetrics } from "../../src/metrics/index.ts";

/** Exit code of a process that could not start. */
const EXIT_START_FAILED = 3;

const { seeds, ...settings } = JSON.parse(process.argv[2]);

try {
  await runFleetControl(settings, {
    getSeeds: () => seeds,
    decodeConfig,
    sendLayerOrder: () => Promise.resolve("begun"),
    readPace: () => Promise.resolve(1),
    log: () => {},
    metrics: createMetrics(),
    onFatal: (error) => {
      throw error;
    },
  });
} catch (error) {
  process.stdout.write(`${(error as Error).message}\n`);
  process.exit(EXIT_START_FAILED);
}
process.stdout.write("started\n");
