import { test } from "uvu";
import * as assert from "uvu/assert";
import { launchFleet } from "../demo/launch_fleet.ts";
import {
  freezeLeader,
  killAll,
  killLeader,
  returnDataFolder,
  stopLeader,
  wipeDisksInTurn,
} from "../measure/failover_scenarios.ts";

// Kills two leaders: guards against a stream to a restarted replica that is still taken
// for dead, so that the second failure leaves no quorum.
test("no accepted change is lost when leaders are killed in turn", async () => {
  await using fleet = await launchFleet({ entries: 2, entryDisks: true });
  assert.ok((await killLeader(fleet, { changes: 150 })).accepted >= 150);
  assert.ok((await killLeader(fleet, { changes: 150 })).accepted >= 150);
});

test("a frozen leader that resumes reverts nothing", async () => {
  await using fleet = await launchFleet({ entries: 2 });
  assert.ok((await freezeLeader(fleet, { frozenMs: 3_000 })).accepted >= 60);
});

test("a planned stop transfers leadership and exits with 0", async () => {
  await using fleet = await launchFleet({ entries: 1 });
  assert.ok((await stopLeader(fleet)).accepted >= 60);
});

test("control processes that are all killed at once restart with the accepted state", async () => {
  await using fleet = await launchFleet({ entries: 1 });
  assert.ok((await killAll(fleet)).accepted >= 60);
});

test("no accepted change is lost when a second disk fails right after the repair of the first", async () => {
  await using fleet = await launchFleet({ entries: 1 });
  assert.ok((await wipeDisksInTurn(fleet)).accepted >= 60);
});

// Guards against a quorum that shrank for good: a replica whose data folder was replaced
// and then put back never became a member again.
test("a replica whose data folder returns becomes a voter again", async () => {
  await using fleet = await launchFleet({ entries: 1 });
  assert.ok((await returnDataFolder(fleet)).accepted >= 60);
});

test.run();
