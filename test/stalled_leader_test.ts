/**
 * Silence that is the listener's own: a leader and gateways whose event loop stood
 * still while others spoke.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { Logger } from "../src/logs/index.ts";
import { startSessionFleet } from "./support/start_session_fleet.ts";

const ENGINES = 6;

/** Ms for which the loop stands still: longer than any silence that is borne. */
const STALL_MS = 3_000;

/** Ms in which the leader has looked at all engines and sessions. */
const LOOKS_MS = 600;

function stallLoop(): void {
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
}

// All engines were dropped in one moment, and all callers turned away.
test("a leader that stood still takes nobody else for lost", async () => {
  const lost: unknown[] = [];
  const log: Logger = (event, details) => {
    if (event === "engineLost" || event === "gatewayLost") lost.push(details);
  };
  await using fleet = await startSessionFleet({
    controls: 1,
    engines: ENGINES,
    log,
  });
  const gateways = ["g0", "g1", "g2"].map((vm) => fleet.open(vm));
  await until(
    "all are told the work of all",
    () => gateways.every(({ toldRequests }) => toldRequests.at(-1) === 3),
  );
  for (let stall = 0; stall < 3; stall++) {
    stallLoop();
    await sleep(LOOKS_MS);
  }
  assert.equal(lost, []);
  assert.equal(gateways.map(({ welcomes }) => welcomes), [1, 1, 1]);
  assert.equal(gateways.flatMap(({ goneEngines }) => goneEngines), []);
});

test.run();
