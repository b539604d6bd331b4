/**
 * Which control processes vote, and how those without a disk find the others.
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
  /** Names its data folder; an empty one of its own by default. */
  readonly disk?: string;
}

/** Starts control processes in one folder; disposing of it ends them. */
async function prepare(count: number) {
  const folder = await mkdtemp(join(tmpdir(), "members-"));
  const addresses = await findSeeds(count);
  const running = new Set<FleetControl>();
  let folders = 0;
  async function start(
    at: number,
    { isFirstStart = true, ...options }: ControlOptions,
  ): Promise<FleetControl> {
    folders += 1;
    const control = await startFleetControl({
      fleetId: "test",
      ...addresses[at],
      dataFolder: options.isObserver
        ? undefined
        : join(folder, options.disk ?? String(folders)),
      isFirstStart,
      voters: options.voters,
      beatIntervalMs: 200,
      repeats: { extra: 100, windowMs: 10_000 },
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
function startFirst(
  trial: Awaited<ReturnType<typeof prepare>>,
  options: ControlOptions,
): Promise<FleetControl[]> {
  return Promise.all([0, 1, 2].map((at) => trial.start(at, options)));
}

function put(control: FleetControl, version: number) {
  const document = JSON.stringify(makeWireConfig(version));
  return control.call({ type: "putConfig", packed: packDocument(document) });
}

function listRoles(control: FleetControl): string[] {
  return control.getState().members.map(({ role }) => role).sort();
}

test("a process without a disk passes calls on and never votes", async () => {
  await using trial = await prepare(4);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 3 };
  const voters = await startFirst(trial, options);
  const observer = await trial.start(3, { ...options, isObserver: true });
  await until(
    "a call through it is taken",
    async () => (await put(observer, 1)).type === "done",
  );
  assert.equal(listRoles(voters[0]), ["observer", "voter", "voter", "voter"]);
  const follower = voters.find((one) =>
    one.getState().role === "follower"
  ) as FleetControl;
  await trial.stop(follower);
  await until(
    "two voters still take changes",
    async () => (await put(observer, 2)).type === "done",
  );
  // Longer than the silence after which a learner would take its place.
  await until("its voter counts as silent", () => isSilent(voters, follower));
  assert.equal(listRoles(observer), ["observer", "voter", "voter", "voter"]);
});

function isSilent(all: readonly FleetControl[], one: FleetControl): boolean {
  const leader = all.find((control) => control.getState().role === "leader");
  const state = leader?.getState();
  if (!state) return false;
  const { ackedSentMs } = state.peers[one.getState().selfId];
  return performance.now() - ackedSentMs > 3_500;
}

test("nothing is accepted before as many vote as the losses ask for", async () => {
  await using trial = await prepare(6);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 5 };
  const first = await startFirst(trial, options);
  const findLeader = () =>
    first.find((one) => one.getState().role === "leader");
  await until("one leads", () => findLeader() !== undefined);
  assert.equal(await put(findLeader() as FleetControl, 1), {
    type: "unavailable",
    reason: "too few voters",
  });
  await Promise.all([3, 4, 5].map((at) => trial.start(at, options)));
  await until(
    "it is taken",
    async () => (await put(first[0], 1)).type === "done",
  );
  const votes = listRoles(first[0]).filter((role) => role === "voter");
  assert.is(votes.length, 5);
});

test("a disk that is lost while all others lose power takes nothing accepted with it", async () => {
  await using trial = await prepare(4);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 3 };
  const first = [0, 1, 2].map((at) =>
    trial.start(at, { ...options, disk: `disk-${at}` })
  );
  const others = [trial.start(3, { ...options, isObserver: true })];
  const before = await Promise.all([...first, ...others]);
  await until(
    "a change is taken",
    async () => (await put(before[3], 7)).type === "done",
  );
  await Promise.all(before.map(trial.stop));
  // The one that led is back with an empty disk; who has none knows nobody.
  const again = { ...options, isFirstStart: false };
  const after = await Promise.all([
    trial.start(0, { ...again, disk: "disk-0-new" }),
    trial.start(1, { ...again, disk: "disk-1" }),
    trial.start(2, { ...again, disk: "disk-2" }),
    trial.start(3, { ...again, isObserver: true }),
  ]);
  await until("it is read back everywhere", async () => {
    const replies = await Promise.all(
      after.map((one) => one.call({ type: "readConfig" })),
    );
    return replies.every((reply) =>
      reply.type === "document" && reply.document?.includes('"version":7')
    );
  });
});

test("one without a disk is found again where it knows nobody", async () => {
  await using trial = await prepare(4);
  const seeds = trial.addresses.slice(0, 3);
  const options = { seeds, voters: 3 };
  const voters = await startFirst(trial, options);
  const observer = await trial.start(3, { ...options, isObserver: true });
  const knowsLeader = (one: FleetControl) =>
    one.getLeaderCallerAddress() !== "";
  await until("it knows the leader", () => knowsLeader(observer));
  await trial.stop(observer);
  const again = await trial.start(3, {
    ...options,
    seeds: [trial.addresses[3]],
    isObserver: true,
    isFirstStart: false,
  });
  await until("it knows the leader again", () => knowsLeader(again));
  assert.equal(listRoles(voters[0]), ["observer", "voter", "voter", "voter"]);
});

test.run();
