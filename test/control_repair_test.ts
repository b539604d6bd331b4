/**
 * How the membership of the quorum is repaired after a loss.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { FleetControl } from "../src/fleet/index.ts";
import {
  listVoterIds,
  prepareControls,
  putConfig,
  startSeeds,
} from "./support/prepare_controls.ts";

// Guards against a quorum that could not bear the next loss: a new leader kept the lost
// voter until it had listened to the heartbeats of all upstreams.
test("a lost disk of the leader is replaced while upstreams send no heartbeats", async () => {
  await using trial = await prepareControls(3);
  const options = {
    seeds: trial.addresses,
    voters: 3,
    upstreamHeartbeatIntervalMs: 3_600_000,
  };
  const before = await startSeeds(trial, options);
  await until(
    "a change is accepted",
    async () => (await putConfig(before[0], 1)).type === "done",
  );
  const at = before.findIndex((one) => one.getState().role === "leader");
  await trial.stop(before[at]);
  const returned = await trial.start(at, { ...options, isFirstStart: false });
  const running = before.with(at, returned);
  const ids = running.map((one) => one.getState().selfId).sort();
  await until("exactly the running replicas are voters", () => {
    const leader = running.find((one) => one.getState().role === "leader");
    return leader !== undefined &&
      JSON.stringify(listVoterIds(leader)) === JSON.stringify(ids);
  });
});

// Guards against a core that ended with the next loss: a machine that left as planned
// kept its vote, while its successor had none.
for (const role of ["leader", "follower"] as const) {
  test(`a planned stop passes the vote on to a learner: ${role}`, async () => {
    await using trial = await prepareControls(4);
    const options = { seeds: trial.addresses.slice(0, 3), voters: 3 };
    const first = await startSeeds(trial, options);
    const added = await trial.start(3, { ...options, isFirstStart: false });
    const { selfId } = added.getState();
    await until(
      "all know the learner",
      () =>
        first.every((one) =>
          one.getState().members.some(({ id }) => id === selfId)
        ),
    );
    // It counts as caught up once it has applied what the leader has.
    await until(
      "the learner has caught up",
      () => added.getState().commitIndex > 0,
    );
    const at = first.findIndex((one) => one.getState().role === role);
    await trial.stop(first[at]);
    const remaining = [...first.toSpliced(at, 1), added];
    const leader = remaining
      .find((one) => one.getState().role === "leader") as FleetControl;
    assert.equal(
      listVoterIds(leader),
      remaining.map((one) => one.getState().selfId).sort(),
    );
  });
}

// Guards against a quorum that shrank for good: a replica that was replaced while it was
// down never became a member again.
test("a replica that was replaced while it was down becomes a voter again", async () => {
  await using trial = await prepareControls(4);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 3 };
  const first = await Promise.all(
    [0, 1, 2].map((at) =>
      trial.start(at, { ...options, folderName: `disk-${at}` })
    ),
  );
  const added = await trial.start(3, { ...options, isFirstStart: false });
  const findLeader = () =>
    [...first, added].find((one) => one.getState().role === "leader");
  const isVoter = (one: FleetControl) =>
    listVoterIds(findLeader() as FleetControl)
      .includes(one.getState().selfId);
  const isMember = (one: FleetControl) =>
    findLeader()?.getState().members
      .some(({ id }) => id === one.getState().selfId) === true;
  await until("the successor has joined", () => isMember(added));
  const [down, leaving] = [0, 1, 2]
    .filter((at) => first[at].getState().role !== "leader");
  await trial.stop(first[down]);
  await until("the successor votes", () => isVoter(added));
  await until("the replica is removed", () => !isMember(first[down]));
  first[down] = await trial.start(down, {
    ...options,
    folderName: `disk-${down}`,
    isFirstStart: false,
  });
  await until("the replica is a member again", () => isMember(first[down]));
  await trial.stop(first[leaving]);
  await until("the replica votes again", () => isVoter(first[down]));
});

test.run();
