/**
 * Failures of control processes under a stream of changes, with real binaries.
 * Each scenario checks that no accepted change is lost, applied twice or
 * reverted.
 *
 * @module
 */

import { rename, rm } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet, FleetProcess } from "../demo/launch_fleet.ts";
import { hashSecret } from "../src/http/index.ts";

/** Result of a scenario. */
export interface FailoverReport {
  readonly scenario: string;
  readonly accepted: number;
  /** Longest time, in ms, between two accepted changes. */
  readonly longestGapMs: number;
  /** Median time, in ms, between two accepted changes. */
  readonly medianGapMs: number;
}

/** An invariant was violated in a scenario. */
export class FailoverViolation extends Error {}

interface AcceptedChange {
  readonly name: string;
  readonly revision: number;
  readonly atMs: number;
}

/** Sends changes one after the other until it is stopped. */
interface ChangeStream {
  readonly accepted: AcceptedChange[];
  stop(): Promise<void>;
}

interface Status {
  readonly leader: string;
  readonly acceptedRevision: number;
  readonly inForceRevision: number;
  readonly members: readonly { id: string; vm: string; role: string }[];
  readonly entries: readonly unknown[];
}

/** Reads the status of the fleet through the operator API. */
export function readStatus(fleet: Fleet): Promise<Status> {
  return fleet.operator.call<Status>({ path: "/v1/status" });
}

function startChanges(fleet: Fleet, prefix: string): ChangeStream {
  const accepted: AcceptedChange[] = [];
  let stopped = false;
  async function run(): Promise<void> {
    for (let count = 0; !stopped; count++) {
      const name = `${prefix}-${count}`;
      const spec = { keySha256: [hashSecret(name)] };
      const response = await fleet.operator.call<{ revision: number }>({
        method: "PUT",
        path: `/v1/resources/clientAccount/${name}`,
        body: { spec, revision: 0 },
        changeId: `change-${name}`,
      });
      const { revision } = response;
      accepted.push({ name, revision, atMs: performance.now() });
      await sleep(2);
    }
  }
  const running = run();
  return {
    accepted,
    async stop() {
      stopped = true;
      await running;
    },
  };
}

async function findLeader(fleet: Fleet): Promise<FleetProcess> {
  const { leader } = await readStatus(fleet);
  const found = fleet.controls.find((control) => control.name === leader);
  if (!found) throw new Error(`no control process is named ${leader}`);
  return found;
}

async function waitForAllVoters(fleet: Fleet): Promise<void> {
  await fleet.until("all control processes are voters again", async () => {
    const { members } = await readStatus(fleet);
    return members.length === fleet.controls.length &&
      members.every((member) => member.role === "voter");
  });
}

async function checkAccepted(
  fleet: Fleet,
  accepted: readonly AcceptedChange[],
): Promise<void> {
  const { items } = await fleet.operator.call<{
    items: { name: string; revision: number; generation: number }[];
  }>({ path: "/v1/resources/clientAccount" });
  const byName = new Map(items.map((item) => [item.name, item]));
  for (const { name, revision } of accepted) {
    const found = byName.get(name);
    if (!found) throw new FailoverViolation(`accepted change ${name} was lost`);
    if (found.revision !== revision || found.generation !== 1) {
      throw new FailoverViolation(
        `accepted change ${name} was applied twice or has another revision`,
      );
    }
  }
  const revisions = accepted.map((change) => change.revision);
  const isIncreasing = revisions.every((revision, at) =>
    at === 0 || revision > revisions[at - 1]
  );
  if (!isIncreasing) throw new FailoverViolation("a revision was reverted");
  await fleet.until(
    "the accepted revision is in force at all entries",
    async () => {
      const status = await readStatus(fleet);
      return status.entries.length === fleet.entries.length &&
        status.inForceRevision === status.acceptedRevision;
    },
  );
  for (const entry of fleet.entries) checkRevisionOrder(entry);
}

// An entry logs each revision that takes effect (CL1406); revisions must never
// decrease, also across restarts.
function checkRevisionOrder(entry: FleetProcess): void {
  let highest = -1;
  for (const line of entry.getLog().split("\n")) {
    const revision = /CL1406.* revision=(\d+)/.exec(line)?.[1];
    if (revision === undefined) continue;
    if (Number(revision) < highest) {
      throw new FailoverViolation(`${entry.name} reverted to ${revision}`);
    }
    highest = Number(revision);
  }
}

function createReport(
  scenario: string,
  accepted: readonly AcceptedChange[],
): FailoverReport {
  const gaps = accepted.slice(1)
    .map((change, at) => change.atMs - accepted[at].atMs)
    .sort((a, b) => a - b);
  return {
    scenario,
    accepted: accepted.length,
    longestGapMs: gaps[gaps.length - 1] ?? 0,
    medianGapMs: gaps[Math.floor(gaps.length / 2)] ?? 0,
  };
}

async function waitForAccepted(
  stream: ChangeStream,
  count: number,
): Promise<void> {
  while (stream.accepted.length < count) await sleep(5);
}

/** Kills the leader while changes are being made, then restarts it. */
export async function killLeader(
  fleet: Fleet,
  options: { changes: number },
): Promise<FailoverReport> {
  const prefix = `kill-${Date.now().toString(36)}`;
  const stream = startChanges(fleet, prefix);
  await waitForAccepted(stream, Math.floor(options.changes / 3));
  const leader = await findLeader(fleet);
  leader.kill("SIGKILL");
  await leader.ended();
  await waitForAccepted(stream, Math.floor((options.changes * 2) / 3));
  leader.start();
  await waitForAccepted(stream, options.changes);
  await stream.stop();
  await waitForAllVoters(fleet);
  await checkAccepted(fleet, stream.accepted);
  return createReport("leader killed during changes", stream.accepted);
}

/** Suspends the leader with SIGSTOP for `frozenMs`, then resumes it. */
export async function freezeLeader(
  fleet: Fleet,
  options: { frozenMs: number },
): Promise<FailoverReport> {
  const stream = startChanges(fleet, `freeze-${Date.now().toString(36)}`);
  await waitForAccepted(stream, 30);
  const leader = await findLeader(fleet);
  leader.kill("SIGSTOP");
  await sleep(options.frozenMs);
  leader.kill("SIGCONT");
  await waitForAccepted(stream, stream.accepted.length + 30);
  await stream.stop();
  await waitForAllVoters(fleet);
  await checkAccepted(fleet, stream.accepted);
  return createReport("leader frozen and woken", stream.accepted);
}

/**
 * Deletes the data folder of a follower and, once its replacement is a voter,
 * that of the leader.
 */
export async function wipeDisksInTurn(fleet: Fleet): Promise<FailoverReport> {
  const stream = startChanges(fleet, `disks-${Date.now().toString(36)}`);
  await waitForAccepted(stream, 30);
  const leader = await findLeader(fleet);
  const follower = fleet.controls.find((control) => control !== leader);
  if (!follower) throw new Error("no follower found in the fleet");
  await wipeDataFolder(fleet, follower);
  await wipeDataFolder(fleet, leader);
  await waitForAccepted(stream, stream.accepted.length + 30);
  await stream.stop();
  await checkAccepted(fleet, stream.accepted);
  return createReport(
    "two disks lost one after the other's repair",
    stream.accepted,
  );
}

/**
 * Takes the data folder of a follower away and, once its replacement is a voter, puts it
 * back in place of the new one. Deletes that of the leader afterwards.
 */
export async function returnDataFolder(fleet: Fleet): Promise<FailoverReport> {
  const stream = startChanges(fleet, `return-${Date.now().toString(36)}`);
  await waitForAccepted(stream, 30);
  const leader = await findLeader(fleet);
  const follower = fleet.controls.find((control) => control !== leader);
  if (!follower) throw new Error("no follower found in the fleet");
  const { dataFolder } = follower;
  const id = await getReplicaId(fleet, follower);
  const awayFolder = `${dataFolder}-away`;
  await replaceReplica(fleet, follower, () => rename(dataFolder, awayFolder));
  await replaceReplica(fleet, follower, async () => {
    await rm(dataFolder, { recursive: true });
    await rename(awayFolder, dataFolder);
  });
  if (await getReplicaId(fleet, follower) !== id) {
    throw new FailoverViolation("the replica returned under another id");
  }
  await wipeDataFolder(fleet, leader);
  await waitForAccepted(stream, stream.accepted.length + 30);
  await stream.stop();
  await checkAccepted(fleet, stream.accepted);
  return createReport("a data folder returned", stream.accepted);
}

async function getReplicaId(
  fleet: Fleet,
  control: FleetProcess,
): Promise<string | undefined> {
  const { members } = await readStatus(fleet);
  return members.find(({ vm }) => vm === control.name)?.id;
}

// Kills a control process, deletes its data folder, restarts it and waits until
// its new replica is a voter.
function wipeDataFolder(fleet: Fleet, control: FleetProcess): Promise<void> {
  return replaceReplica(
    fleet,
    control,
    () => rm(control.dataFolder, { recursive: true }),
  );
}

// Kills a control process, changes its data folder, restarts it and waits until the
// replica in that folder is a voter.
async function replaceReplica(
  fleet: Fleet,
  control: FleetProcess,
  changeDataFolder: () => Promise<void>,
): Promise<void> {
  const replacedId = await getReplicaId(fleet, control);
  control.kill("SIGKILL");
  await control.ended();
  await changeDataFolder();
  control.start();
  await fleet.until(
    "the wiped replica is replaced by a new voter",
    async () => {
      const { members } = await readStatus(fleet);
      return members.length === fleet.controls.length &&
        members.every(({ id, role }) => id !== replacedId && role === "voter");
    },
  );
}

/** Stops the leader gracefully with SIGTERM, then restarts it. */
export async function stopLeader(fleet: Fleet): Promise<FailoverReport> {
  const stream = startChanges(fleet, `stop-${Date.now().toString(36)}`);
  await waitForAccepted(stream, 30);
  const leader = await findLeader(fleet);
  leader.kill("SIGTERM");
  const code = await leader.ended();
  if (code !== 0) {
    throw new FailoverViolation(
      `graceful stop exited with code ${code}`,
    );
  }
  await waitForAccepted(stream, stream.accepted.length + 30);
  leader.start();
  await stream.stop();
  await waitForAllVoters(fleet);
  await checkAccepted(fleet, stream.accepted);
  return createReport("leader stopped as planned", stream.accepted);
}

/** Kills all control processes at once, then restarts them. */
export async function killAll(fleet: Fleet): Promise<FailoverReport> {
  const stream = startChanges(fleet, `all-${Date.now().toString(36)}`);
  await waitForAccepted(stream, 30);
  for (const control of fleet.controls) control.kill("SIGKILL");
  for (const control of fleet.controls) await control.ended();
  for (const control of fleet.controls) control.start();
  await waitForAccepted(stream, stream.accepted.length + 30);
  await stream.stop();
  await waitForAllVoters(fleet);
  await checkAccepted(fleet, stream.accepted);
  return createReport("all control processes killed at once", stream.accepted);
}
