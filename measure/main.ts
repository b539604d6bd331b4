/**
 * Entry point of the measurements: `npm run measure -- NAME` runs one.
 *
 * @module
 */

import process from "node:process";
import { measureCapacity } from "./capacity.ts";
import { measureChoice } from "./choice.ts";
import { measureFailover } from "./failover.ts";
import { measureLayers } from "./layers.ts";
import { measureLimits } from "./limits.ts";
import { measureOverload } from "./overload.ts";
import { measurePath } from "./path.ts";
import { measureProfile } from "./profile.ts";
import { measurePlacement } from "./placement.ts";
import { measureRecovery } from "./recovery.ts";
import { measureRest } from "./rest.ts";
import { measureRollout } from "./rollout.ts";
import { measureRouting } from "./routing.ts";

const MEASUREMENTS: Readonly<Record<string, () => Promise<void> | void>> = {
  failover: measureFailover,
  routing: measureRouting,
  placement: measurePlacement,
  layers: measureLayers,
  recovery: measureRecovery,
  rest: measureRest,
  limits: measureLimits,
  rollout: measureRollout,
  overload: measureOverload,
  choice: measureChoice,
  path: measurePath,
  capacity: measureCapacity,
  profile: measureProfile,
};

const name = process.argv[2] ?? "";
const measurement = MEASUREMENTS[name];
if (!measurement) {
  const names = Object.keys(MEASUREMENTS).join(", ");
  process.stderr.write(
    `usage: npm run measure -- NAME, where NAME is one of ${names}\n`,
  );
  process.exit(2);
}
await measurement();
