/**
 * Which control processes vote, and how processes without a disk find the others.
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { decodeConfig } from "../platform/decode_config.ts";
import {
  type FleetControl,
  type FleetSeed,
  packDocument,
  startFleetControl,
} from "../src/fleet/index.ts";
import { createMetrics } from "../src/metrics/index.ts";
import { findSeeds } from "./support/find_seeds.ts";
import { makeWireConfig } from "./support/fleet.ts";

interface ControlOptions {
  readonly seeds: readonly FleetSeed[];
  readonly voters: number;
  readonly isObserver?: boolean;
  readonly isFirstStart?: boolean;
  /** Name of its data folder; a new empty folder by default. */
  readonly folderName?: string;
  readonly upstreamHeartbeatIntervalMs?: number;
}

/** Sets up control processes below one folder; disposal stops them. */
async function prepareControls(count: number) {
  const folder = await mkdtemp(join(tmpdir(), "members-"));
  const addresses = await findSeeds(count);
  const running = new Set<FleetControl>();
  let folderCount = 0;
  async function start(
    at: number,
    { isFirstStart = true, ...options }: ControlOptions,
  ): Promise<FleetControl> {
    folderCount += 1;
    const control = await startFleetControl({
      fleetId: "test",
      ...addresses[at],
      dataFolder: options.isObserver
        ? undefined
        : join(folder, options.folderName ?? String(folderCount)),
      isFirstStart,
      voters: options.voters,
      upstreamHeartbeatIntervalMs: options.upstreamHeartbeatIntervalMs ?? 200,
      retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
    }, {
      getSeeds: () => options.seeds,
      decodeConfig,
      sendLayerOrder: () => Promise.resolve("begun"),
      readPace: () => Promise.resolve(1),
      log: () => {},
      metrics: createMetrics(),
      onFatal: (error) => {
        throw error;
      },
    });
    running.add(control);
    return control;
  }
  async function stop(control: FleetControl): Promise<void> {
    running.delete(control);
    await control.stop();
  }
  return {
    addresses,
    start,
    stop,
    async [Symbol.asyncDispose]() {
      await Promise.all([...running].map(stop));
      await rm(folder, { recursive: true, force: true });
    },
  };
}

/** Starts the three processes that are each other's seeds. */
function startSeeds(
  trial: Awaited<ReturnType<typeof prepareControls>>,
  options: ControlOptions,
): Promise<FleetControl[]> {
  return Promise.all([0, 1, 2].map((at) => trial.start(at, options)));
}

function putConfig(control: FleetControl, version: number) {
  const document = JSON.stringify(makeWireConfig(version));
  return control.call({ type: "putConfig", packed: packDocument(document) });
}

function listRoles(control: FleetControl): string[] {
  return control.getState().members.map(({ role }) => role).sort();
}

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

function listVoterIds(control: FleetControl): string[] {
  return control.getState().members.filter(({ role }) => role === "voter")
    .map(({ id }) => id).sort();
}

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
