/**
 * Failures of control processes under a stream of changes, with real binaries.
 * Each scenario checks that no accepted change is lost, doubled or reverted.
 *
 * @module
 */

import { rm } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import type { Fleet, FleetProcess } from "../demo/launch_fleet.ts";
import { hashSecret } from "../src/http/index.ts";

/** What a scenario measured. */
export interface FailoverReport {
  readonly scenario: string;
  readonly accepted: number;
  /** Longest time, in ms, between two accepted changes. */
  readonly longestGapMs: number;
  /** Median time, in ms, between two accepted changes. */
  readonly medianGapMs: number;
}

/** Something that must hold did not. */
export class FailoverViolation extends Error {}

interface Accepted {
  readonly name: string;
  readonly revision: number;
  readonly atMs: number;
}

/** A stream of changes that goes on until it is stopped. */
interface ChangeStream {
  readonly accepted: Accepted[];
  stop(): Promise<void>;
}

interface Status {
  readonly leader: string;
  readonly acceptedRevision: number;
  readonly inForceRevision: number;
  readonly members: readonly { id: string; vm: string; role: string }[];
  readonly entries: readonly unknown[];
}

/** Reads the fleet's status. */
export function readStatus(fleet: Fleet): Promise<Status> {
  return fleet.operator.call<Status>({ path: "/v1/status" });
}

function startChanges(fleet: Fleet, prefix: string): ChangeStream {
  const accepted: Accepted[] = [];
  let stopped = false;
  async function run(): Promise<void> {
    for (let count = 0; !stopped; count++) {
      const name = `${prefix}-${count}`;
      const spec = { keySha256: [hashSecret(name)] };
      const answer = await fleet.operator.call<{ revision: number }>({
        method: "PUT",
        path: `/v1/resources/clientAccount/${name}`,
        body: { spec, revision: 0 },
        changeId: `change-${name}`,
      });
      const { revision } = answer;
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
  if (!found) throw new Error(`No process is called ${leader}`);
  return found;
}

async function untilWhole(fleet: Fleet): Promise<void> {
  await fleet.until("all voters are back", async () => {
    const { members } = await readStatus(fleet);
    return members.length === fleet.controls.length &&
      members.every((member) => member.role === "voter");
  });
}

async function checkAccepted(
  fleet: Fleet,
  accepted: readonly Accepted[],
): Promise<void> {
  const { items } = await fleet.operator.call<{
    items: { name: string; revision: number; generation: number }[];
  }>({ path: "/v1/resources/clientAccount" });
  const byName = new Map(items.map((item) => [item.name, item]));
  for (const { name, revision } of accepted) {
    const found = byName.get(name);
    if (!found) throw new FailoverViolation(`Change ${name} was lost`);
    if (found.revision !== revision || found.generation !== 1) {
      throw new FailoverViolation(`Change ${name} was doubled or moved`);
    }
  }
  const revisions = accepted.map((change) => change.revision);
  const rising = revisions.every((revision, at) =>
    at === 0 || revision > revisions[at - 1]
  );
  if (!rising) throw new FailoverViolation("A revision was reverted");
  await fleet.until("all is in force at the entries", async () => {
    const status = await readStatus(fleet);
    return status.entries.length === fleet.entries.length &&
      status.inForceRevision === status.acceptedRevision;
  });
  for (const entry of fleet.entries) checkEntry(entry);
}

// An entry's log names each revision that came into force, start by start.
function checkEntry(entry: FleetProcess): void {
  let highest = -1;
  for (const line of entry.getLog().split("\n")) {
    const revision = /CL1406.* revision=(\d+)/.exec(line)?.[1];
    if (revision === undefined) continue;
    if (Number(revision) < highest) {
      throw new FailoverViolation(`${entry.name} went back to ${revision}`);
    }
    highest = Number(revision);
  }
}

function report(
  scenario: string,
  accepted: readonly Accepted[],
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

async function untilAccepted(
  stream: ChangeStream,
  count: number,
): Promise<void> {
  while (stream.accepted.length < count) await sleep(5);
}

/** Kills the leader in the midst of changes and starts it again. */
export async function killLeader(
  fleet: Fleet,
  options: { changes: number },
): Promise<FailoverReport> {
  const prefix = `kill-${Date.now().toString(36)}`;
  const stream = startChanges(fleet, prefix);
  await untilAccepted(stream, Math.floor(options.changes / 3));
  const leader = await findLeader(fleet);
  leader.kill("SIGKILL");
  await leader.ended();
  await untilAccepted(stream, Math.floor((options.changes * 2) / 3));
  leader.start();
  await untilAccepted(stream, options.changes);
  await stream.stop();
  await untilWhole(fleet);
  await checkAccepted(fleet, stream.accepted);
  return report("leader killed during changes", stream.accepted);
}

/** Freezes the leader for a while, then lets it go on. */
export async function freezeLeader(
  fleet: Fleet,
  options: { frozenMs: number },
): Promise<FailoverReport> {
  const stream = startChanges(fleet, `freeze-${Date.now().toString(36)}`);
  await untilAccepted(stream, 30);
  const leader = await findLeader(fleet);
  leader.kill("SIGSTOP");
  await sleep(options.frozenMs);
  leader.kill("SIGCONT");
  await untilAccepted(stream, stream.accepted.length + 30);
  await stream.stop();
  await untilWhole(fleet);
  await checkAccepted(fleet, stream.accepted);
  return report("leader frozen and woken", stream.accepted);
}

/**
 * Removes a follower's data folder; as soon as it is a voter again, the leader
 * is lost for good together with its disk.
 */
export async function loseDisksInTurn(fleet: Fleet): Promise<FailoverReport> {
  const stream = startChanges(fleet, `disks-${Date.now().toString(36)}`);
  await untilAccepted(stream, 30);
  const leader = await findLeader(fleet);
  const follower = fleet.controls.find((control) => control !== leader);
  if (!follower) throw new Error("There is no follower");
  await loseDisk(fleet, follower);
  await loseDisk(fleet, leader);
  await untilAccepted(stream, stream.accepted.length + 30);
  await stream.stop();
  await checkAccepted(fleet, stream.accepted);
  return report("two disks lost one after the other's repair", stream.accepted);
}

// Loses a process with its disk and waits until a new replica votes for it.
async function loseDisk(fleet: Fleet, control: FleetProcess): Promise<void> {
  const before = await readStatus(fleet);
  const lost = before.members.find((member) => member.vm === control.name);
  control.kill("SIGKILL");
  await control.ended();
  await rm(control.dataFolder, { recursive: true });
  control.start();
  await fleet.until("the lost replica is replaced", async () => {
    const { members } = await readStatus(fleet);
    return members.length === fleet.controls.length &&
      members.every(({ id, role }) => id !== lost?.id && role === "voter");
  });
}

/** Stops the leader as planned, then starts it again. */
export async function stopLeader(fleet: Fleet): Promise<FailoverReport> {
  const stream = startChanges(fleet, `stop-${Date.now().toString(36)}`);
  await untilAccepted(stream, 30);
  const leader = await findLeader(fleet);
  leader.kill("SIGTERM");
  const code = await leader.ended();
  if (code !== 0) {
    throw new FailoverViolation(`A planned stop ended with ${code}`);
  }
  await untilAccepted(stream, stream.accepted.length + 30);
  leader.start();
  await stream.stop();
  await untilWhole(fleet);
  await checkAccepted(fleet, stream.accepted);
  return report("leader stopped as planned", stream.accepted);
}

/** Kills all control processes at once and starts them again. */
export async function killAll(fleet: Fleet): Promise<FailoverReport> {
  const stream = startChanges(fleet, `all-${Date.now().toString(36)}`);
  await untilAccepted(stream, 30);
  for (const control of fleet.controls) control.kill("SIGKILL");
  for (const control of fleet.controls) await control.ended();
  for (const control of fleet.controls) control.start();
  await untilAccepted(stream, stream.accepted.length + 30);
  await stream.stop();
  await untilWhole(fleet);
  await checkAccepted(fleet, stream.accepted);
  return report("all control processes killed at once", stream.accepted);
}
