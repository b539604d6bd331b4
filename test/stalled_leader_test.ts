/**
 * A leader and gateways whose own event loop stalls, so that heartbeats from others are
 * read late.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { Logger } from "../src/logs/index.ts";
import { startSessionFleet } from "./support/start_session_fleet.ts";

const ENGINES = 6;

/** Duration of a stall: longer than every timeout for missing heartbeats. */
const STALL_MS = 3_000;

/** Time in which the leader checks all engines and sessions. */
const CHECK_MS = 600;

function stallLoop(): void {
  const endMs = performance.now() + STALL_MS;
  while (performance.now() < endMs);
}

// Guards against a leader that takes its own stall for missing heartbeats: all engines
// were removed at once, and all callers were rejected.
test("a leader whose event loop stalled removes no engine and no gateway", async () => {
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
    "all gateways know the requests of all",
    () =>
      gateways.every(({ receivedRequestCounts }) =>
        receivedRequestCounts.at(-1) === 3
      ),
  );
  for (let stall = 0; stall < 3; stall++) {
    stallLoop();
    await sleep(CHECK_MS);
  }
  assert.equal(lost, []);
  assert.equal(gateways.map(({ welcomes }) => welcomes), [1, 1, 1]);
  assert.equal(
    gateways.flatMap(({ removedIds }) => removedIds),
    [],
  );
});

test.run();
