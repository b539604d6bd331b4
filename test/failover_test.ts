import { test } from "uvu";
import * as assert from "uvu/assert";
import { launchFleet } from "../demo/launch_fleet.ts";
import {
  freezeLeader,
  killAll,
  killLeader,
  loseDisksInTurn,
  stopLeader,
} from "../measure/failover_scenarios.ts";

// Twice: a stream to a replica that was started again was first kept for dead,
// so that the second leader's death left no quorum.
test("no accepted change is lost when leaders are killed in turn", async () => {
  await using fleet = await launchFleet({ entries: 2, entryDisks: true });
  assert.ok((await killLeader(fleet, { changes: 150 })).accepted >= 150);
  assert.ok((await killLeader(fleet, { changes: 150 })).accepted >= 150);
});

test("a frozen leader that wakes reverts nothing", async () => {
  await using fleet = await launchFleet({ entries: 2 });
  assert.ok((await freezeLeader(fleet, { frozenMs: 3_000 })).accepted >= 60);
});

test("a planned stop hands leadership over and ends with 0", async () => {
  await using fleet = await launchFleet({ entries: 1 });
  assert.ok((await stopLeader(fleet)).accepted >= 60);
});

test("all control processes killed at once come back to the accepted state", async () => {
  await using fleet = await launchFleet({ entries: 1 });
  assert.ok((await killAll(fleet)).accepted >= 60);
});

test("a second disk is lost right after the first one's repair", async () => {
  await using fleet = await launchFleet({ entries: 1 });
  assert.ok((await loseDisksInTurn(fleet)).accepted >= 60);
});

test.run();
