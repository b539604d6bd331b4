/**
 * Which control processes vote, and how processes without a disk find the others.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { FleetControl } from "../src/fleet/index.ts";
import {
  listRoles,
  prepareControls,
  putConfig,
  startSeeds,
} from "./support/prepare_controls.ts";

test("a process without a disk forwards calls and never votes", async () => {
  await using trial = await prepareControls(4);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 3 };
  const voters = await startSeeds(trial, options);
  const observer = await trial.start(3, { ...options, isObserver: true });
  await until(
    "a call through the observer is accepted",
    async () => (await putConfig(observer, 1)).type === "done",
  );
  assert.equal(listRoles(voters[0]), ["observer", "voter", "voter", "voter"]);
  const follower = voters.find((one) =>
    one.getState().role === "follower"
  ) as FleetControl;
  await trial.stop(follower);
  await until(
    "the two other voters accept changes",
    async () => (await putConfig(observer, 2)).type === "done",
  );
  // Waits longer than the time after which a learner would replace the voter.
  await until(
    "the stopped voter counts as unresponsive",
    () => isUnresponsive(voters, follower),
  );
  assert.equal(listRoles(observer), ["observer", "voter", "voter", "voter"]);
});

function isUnresponsive(
  all: readonly FleetControl[],
  one: FleetControl,
): boolean {
  const leader = all.find((control) => control.getState().role === "leader");
  const state = leader?.getState();
  if (!state) return false;
  const { ackedSentMs } = state.peers[one.getState().selfId];
  return performance.now() - ackedSentMs > 3_500;
}

test("no change is accepted before there are as many voters as the fault tolerance requires", async () => {
  await using trial = await prepareControls(6);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 5 };
  const first = await startSeeds(trial, options);
  const findLeader = () =>
    first.find((one) => one.getState().role === "leader");
  await until("there is a leader", () => findLeader() !== undefined);
  assert.equal(await putConfig(findLeader() as FleetControl, 1), {
    type: "unavailable",
    reason: "too few voters",
  });
  await Promise.all([3, 4, 5].map((at) => trial.start(at, options)));
  await until(
    "the change is accepted",
    async () => (await putConfig(first[0], 1)).type === "done",
  );
  const votes = listRoles(first[0]).filter((role) => role === "voter");
  assert.is(votes.length, 5);
});

test("no accepted change is lost when one disk is lost while all processes lose power", async () => {
  await using trial = await prepareControls(4);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 3 };
  const first = [0, 1, 2].map((at) =>
    trial.start(at, { ...options, folderName: `disk-${at}` })
  );
  const others = [trial.start(3, { ...options, isObserver: true })];
  const before = await Promise.all([...first, ...others]);
  await until(
    "a change is accepted",
    async () => (await putConfig(before[3], 7)).type === "done",
  );
  await Promise.all(before.map(trial.stop));
  // The first process starts again with an empty disk; the observer has no stored members.
  const restarted = { ...options, isFirstStart: false };
  const after = await Promise.all([
    trial.start(0, { ...restarted, folderName: "disk-0-new" }),
    trial.start(1, { ...restarted, folderName: "disk-1" }),
    trial.start(2, { ...restarted, folderName: "disk-2" }),
    trial.start(3, { ...restarted, isObserver: true }),
  ]);
  await until("all processes read the change", async () => {
    const replies = await Promise.all(
      after.map((one) => one.call({ type: "readConfig" })),
    );
    return replies.every((reply) =>
      reply.type === "document" && reply.document?.includes('"version":7')
    );
  });
});

test("an observer that restarts without known members is found by the leader", async () => {
  await using trial = await prepareControls(4);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 3 };
  const voters = await startSeeds(trial, options);
  const observer = await trial.start(3, { ...options, isObserver: true });
  const knowsLeader = (one: FleetControl) =>
    one.getLeaderCallerAddress() !== "";
  await until("the observer knows the leader", () => knowsLeader(observer));
  await trial.stop(observer);
  const restarted = await trial.start(3, {
    ...options,
    seeds: [trial.addresses[3]],
    isObserver: true,
    isFirstStart: false,
  });
  await until(
    "the restarted observer knows the leader",
    () => knowsLeader(restarted),
  );
  assert.equal(listRoles(voters[0]), ["observer", "voter", "voter", "voter"]);
});

test.run();
