/**
 * Runs one measurement: `npm run measure -- NAME`.
 *
 * @module
 */

import process from "node:process";
import { measureFailover } from "./failover.ts";
import { measureRouting } from "./routing.ts";

const MEASUREMENTS: Readonly<Record<string, () => Promise<void> | void>> = {
  failover: measureFailover,
  routing: measureRouting,
};

const name = process.argv[2] ?? "";
const measurement = MEASUREMENTS[name];
if (!measurement) {
  const names = Object.keys(MEASUREMENTS).join(", ");
  process.stderr.write(`Usage: npm run measure -- NAME, one of ${names}\n`);
  process.exit(2);
}
await measurement();
