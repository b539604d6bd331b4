/**
 * A seeded simulation of control machines that are lost one at a time, with the fleet's
 * own repair of the membership.
 *
 * The losses keep to one rule alone: a machine counts as lost while it is down or
 * suspended and for a fixed time after its start, and no more machines are lost at once
 * than the voters tolerate. Whether the quorum has been repaired is not looked at.
 *
 * @module
 */

import type { LogEntry, Member, QuorumMessage } from "../src/quorum/index.ts";
import {
  createLossMachine,
  type InjectedLossFault,
  type LossMachine,
} from "./loss_machine.ts";
import { createRandomSource } from "./random_source.ts";

/** Options of {@link runLossSchedule}. */
export interface RunLossScheduleOptions {
  readonly seed: number;
  /** Losses at once that are tolerated; there is one voter more than twice as many. */
  readonly toleratedLosses?: number;
  /** Virtual time, in ms, in which machines are lost. */
  readonly faultMs?: number;
  /** Ms after its start for which a machine counts as lost. */
  readonly catchUpMs?: number;
  /** A fault injected into the repair, which the run must detect. */
  readonly injectedFault?: InjectedLossFault;
}

/** Counts of one run. */
export interface LossScheduleReport {
  readonly elections: number;
  readonly acknowledged: number;
  readonly losses: Readonly<Record<string, number>>;
}

const STEP_MS = 2;

/**
 * Time at the end in which no loss begins, in ms: the last ones end, and then the quorum
 * is repaired.
 */
const RECOVERY_MS = 22_000;

/** Longest time for which a running machine may be no member. */
const MAX_OUTSIDE_MS = 4_000;

/** Longest time without a leader, from an outage of all machines on. */
const MAX_LEADERLESS_MS = 8_000;

/** Longest duration, in ms, of a start. */
const MAX_START_MS = 900;

/** Longest time, in ms, for which a machine is down or suspended. */
const MAX_DOWN_MS = 3_500;

/** From the start of a new machine to the end of the one that it replaces, in ms. */
const MAX_OVERLAP_MS = 2_000;

/** Time after which a machine that stops gives up passing its vote on, in ms. */
const RELEASE_TIMEOUT_MS = 1_500;

const LOSSES = [
  "disk",
  "leader's disk",
  "power",
  "pause",
  "restart",
  "planned replacement",
  "killed after its successor",
  "gone before its successor",
  "addition",
  "planned end",
  "all power",
  "all power and a disk",
] as const;

interface InFlightMessage {
  readonly dueMs: number;
  readonly message: QuorumMessage;
}

/** Runs one schedule; throws an error if a check fails. */
export async function runLossSchedule(
  options: RunLossScheduleOptions,
): Promise<LossScheduleReport> {
  const {
    seed,
    toleratedLosses = 1,
    faultMs = 90_000,
    catchUpMs = 4_000,
    injectedFault,
  } = options;
  const random = createRandomSource(seed);
  const voters = 2 * toleratedLosses + 1;
  const machines: LossMachine[] = [];
  const leaders = new Map<number, string>();
  const applied = new Map<number, string>();
  const losses: Record<string, number> = {};
  const outsideSinceMs = new Map<string, number>();
  const waiting: { dueMs: number; resume: () => void }[] = [];
  const lostUntilMs = Array.from({ length: toleratedLosses }, () => 6_000);
  const lost = new Set<LossMachine>();
  const story: string[] = [];
  let inFlight: InFlightMessage[] = [];
  let timeMs = 0;
  let vmCount = 0;
  let elections = 0;
  let acknowledgedIndex = 0;
  let allLostUntilMs = 0;
  let lastLeaderMs = 0;
  let failure: Error | undefined;

  // Also recorded, as the program under test catches what its callbacks throw.
  function fail(what: string): never {
    failure ??= new Error(
      `Seed ${seed}: ${what}\n${story.slice(-12).join("\n")}`,
    );
    throw failure;
  }

  function note(what: string): void {
    story.push(`${timeMs} ${what}`);
  }

  const sleep = (ms: number) =>
    new Promise<void>((resume) => waiting.push({ dueMs: timeMs + ms, resume }));

  function addMachine(vm: string, members: readonly Member[]): LossMachine {
    const machine = createLossMachine({
      vm,
      members,
      voters,
      random,
      injectedFault,
      now: () => timeMs,
      send,
      onApplied: checkApplied,
      onLeader(id, term) {
        elections += 1;
        const earlier = leaders.get(term);
        if (earlier !== undefined && earlier !== id) {
          fail(`two leaders in term ${term}: ${earlier} and ${id}`);
        }
        leaders.set(term, id);
      },
    });
    machines.push(machine);
    return machine;
  }

  function checkApplied(id: string, entry: LogEntry): void {
    const text = JSON.stringify(entry);
    const earlier = applied.get(entry.index);
    if (earlier !== undefined && earlier !== text) {
      fail(`${id} applied a different entry at ${entry.index}`);
    }
    applied.set(entry.index, text);
  }

  function send(message: QuorumMessage): void {
    if (random.chance(0.005)) return;
    inFlight.push({ dueMs: timeMs + random.integer(1, 6), message });
  }

  function deliver(): void {
    const due = inFlight.filter(({ dueMs }) => dueMs <= timeMs);
    inFlight = inFlight.filter(({ dueMs }) => dueMs > timeMs);
    for (const { message } of due) {
      const to = machines.find((one) => one.getReplica().id === message.to);
      if (!to || to.hasGone()) continue;
      if (to.isRunning()) to.deliver(message);
      else if (timeMs < to.getFrozenUntilMs()) {
        inFlight.push({ dueMs: to.getFrozenUntilMs(), message });
      }
    }
  }

  const findLeader = () =>
    machines.find((one) =>
      one.isRunning() && one.getReplica().getState().role === "leader" &&
      one.hasLease()
    );

  async function join(
    machine: LossMachine,
    request: NonNullable<ReturnType<LossMachine["run"]>>,
  ): Promise<void> {
    await sleep(random.integer(1, 6));
    const leader = findLeader();
    if (!leader) return;
    const { accepted } = await leader.handleJoin(request);
    await sleep(random.integer(1, 20));
    if (accepted && machine.isRunning()) machine.setJoined(request.replicaId);
  }

  async function start(machine: LossMachine): Promise<void> {
    await sleep(random.integer(100, MAX_START_MS));
    machine.start();
  }

  async function stopAsPlanned(machine: LossMachine): Promise<void> {
    const { id } = machine.getReplica();
    const state = machine.getReplica().getState();
    const to = state.members.find((member) =>
      member.role === "voter" && member.id !== id &&
      machines.some((one) =>
        one.getReplica().id === member.id && one.isRunning()
      )
    );
    if (to) machine.handle({ type: "transfer", to: to.id });
    if (injectedFault === "kept_vote") return;
    const untilMs = timeMs + RELEASE_TIMEOUT_MS;
    while (timeMs < untilMs && hasLearner(machine)) {
      await sleep(50);
      if (await findLeader()?.replace(id)) break;
    }
  }

  function hasLearner(machine: LossMachine): boolean {
    const { members } = machine.getReplica().getState();
    return members.some(({ role }) => role === "learner");
  }

  // Each resolves once the machine or its successor starts, with the time from which it
  // counts as back if that is another one.
  const play: Record<
    typeof LOSSES[number],
    (machine: LossMachine) => Promise<number | void>
  > = {
    async disk(machine) {
      machine.end({ losesPower: true });
      machine.loseDisk();
      await sleep(random.integer(0, 3_000));
      void start(machine);
    },
    async "leader's disk"(machine) {
      await play.disk(machine);
    },
    async power(machine) {
      machine.end({ losesPower: true });
      await sleep(random.integer(0, MAX_DOWN_MS));
      void start(machine);
    },
    async pause(machine) {
      const durationMs = random.integer(200, MAX_DOWN_MS);
      machine.freeze(durationMs);
      await sleep(durationMs);
    },
    async restart(machine) {
      await stopAsPlanned(machine);
      machine.end();
      await sleep(random.integer(0, MAX_DOWN_MS));
      void start(machine);
    },
    async "planned replacement"(machine) {
      return await replace(machine, stopAsPlanned);
    },
    async "killed after its successor"(machine) {
      return await replace(machine, () => Promise.resolve());
    },
    async "gone before its successor"(machine) {
      machine.remove();
      await sleep(1_000);
      const added = addMachine(`vm-${++vmCount}`, []);
      added.end();
      void start(added);
    },
    // Another machine may be lost while the successor stands by.
    async addition() {
      const added = addMachine(`vm-${++vmCount}`, []);
      added.end();
      await sleep(0);
      void start(added);
    },
    // Its successor has had its time, so the next loss may follow at once.
    async "planned end"(machine) {
      await stopAsPlanned(machine);
      machine.remove();
      return -Infinity;
    },
    "all power": () => losePower(),
    async "all power and a disk"(machine) {
      await losePower(machine);
    },
  };

  async function replace(
    machine: LossMachine,
    stop: (machine: LossMachine) => Promise<void>,
  ): Promise<number> {
    const added = addMachine(`vm-${++vmCount}`, []);
    added.end();
    const startedMs = timeMs;
    void start(added);
    await sleep(random.integer(0, MAX_OVERLAP_MS));
    await stop(machine);
    machine.remove();
    return startedMs;
  }

  async function losePower(withoutDisk?: LossMachine): Promise<void> {
    const running = machines.filter((one) => !one.hasGone());
    for (const one of running) one.end({ losesPower: true });
    withoutDisk?.loseDisk();
    await sleep(random.integer(0, 1_000));
    for (const one of running) void start(one);
    allLostUntilMs = timeMs + catchUpMs;
  }

  async function loseMachine(lane: number): Promise<void> {
    const kind = random.pick(LOSSES);
    const isSingle = lostUntilMs.every((ms, at) => at === lane || ms <= timeMs);
    if (kind.startsWith("all") && !isSingle) return;
    const hasStandby = machines.filter((one) => !one.hasGone()).length > voters;
    if (kind === "addition" && hasStandby) return;
    if (kind === "planned end" && !(hasStandby && isSingle)) return;
    const candidates = machines.filter((one) =>
      one.isRunning() && !lost.has(one)
    );
    const leader = findLeader();
    const isLeader = kind === "leader's disk" && leader && !lost.has(leader);
    const machine = isLeader ? leader : random.pick(candidates);
    losses[kind] = (losses[kind] ?? 0) + 1;
    note(`${kind}: ${machine.getReplica().id}`);
    lostUntilMs[lane] = Infinity;
    if (kind.startsWith("all")) allLostUntilMs = Infinity;
    lost.add(machine);
    const before = new Set(machines);
    const sinceMs = await play[kind](machine) ?? timeMs;
    const successor = machines.find((one) => !before.has(one));
    const waitMs = Math.max(0, sinceMs + catchUpMs - timeMs);
    if (successor) lost.add(successor);
    await sleep(waitMs);
    lost.delete(machine);
    if (successor) lost.delete(successor);
    // Mostly right behind the limit, where the repair has had the least time.
    lostUntilMs[lane] = timeMs +
      (random.chance(0.7) ? 10 : random.integer(10, 3_000));
  }

  function loseMachines(): void {
    if (timeMs < allLostUntilMs) return;
    lostUntilMs.forEach((untilMs, lane) => {
      if (timeMs >= untilMs && timeMs >= allLostUntilMs) {
        loseMachine(lane).catch((error) => failure ??= error as Error);
      }
    });
  }

  function acknowledge(): void {
    const leader = findLeader();
    if (!leader) return;
    const { commitIndex } = leader.getReplica().getState();
    if (commitIndex < acknowledgedIndex) fail("an acknowledged entry was lost");
    acknowledgedIndex = commitIndex;
    leader.propose(JSON.stringify({
      type: "claimBegin",
      clientAccount: "dock",
      key: `key-${timeMs}`,
      requestHash: "h",
      holder: "entry-1/1",
      nowMs: timeMs,
    }));
  }

  function checkMembership(): void {
    const leader = findLeader();
    const members = leader?.getReplica().getState().members ?? [];
    for (const machine of machines) {
      const { id } = machine.getReplica();
      const isMember = members.some((member) => member.id === id);
      if (!leader || !machine.isRunning() || isMember) {
        outsideSinceMs.delete(id);
        continue;
      }
      const sinceMs = outsideSinceMs.get(id) ?? timeMs;
      outsideSinceMs.set(id, sinceMs);
      if (timeMs - sinceMs > MAX_OUTSIDE_MS) fail(`${id} runs as no member`);
    }
  }

  function checkService(): void {
    if (findLeader()) lastLeaderMs = timeMs;
    if (timeMs - lastLeaderMs <= MAX_LEADERLESS_MS) return;
    fail(`no leader any more\n${describeAll().join("\n")}`);
  }

  async function runStep(): Promise<void> {
    timeMs += STEP_MS;
    for (const one of waiting.filter(({ dueMs }) => dueMs <= timeMs)) {
      waiting.splice(waiting.indexOf(one), 1);
      one.resume();
    }
    deliver();
    if (timeMs < faultMs) loseMachines();
    for (const machine of machines) {
      if (!machine.isRunning()) continue;
      const request = machine.run();
      if (request) void join(machine, request);
    }
    if (timeMs % 40 === 0) acknowledge();
    checkMembership();
    checkService();
    // Lets promises that were resolved in this step go on.
    for (let turn = 0; turn < 8; turn++) await null;
    if (failure) throw failure;
  }

  const vms = Array.from({ length: voters }, () => `vm-${++vmCount}`);
  const members: Member[] = vms.map((vm) => ({
    id: `${vm}.0`,
    vm,
    address: vm,
    role: "voter",
  }));
  for (const vm of vms) addMachine(vm, members);
  while (timeMs < faultMs + RECOVERY_MS) await runStep();
  checkFinalState();
  return { elections, acknowledged: acknowledgedIndex, losses };

  function describeAll(): string[] {
    return machines.filter((one) => !one.hasGone()).map((one) => {
      const { selfId, role, term, members } = one.getReplica().getState();
      const known = members.map((member) => `${member.id}:${member.role}`);
      return `${selfId} ${role} ${term}: ${known.join(" ")}`;
    });
  }

  function checkFinalState(): void {
    const leader = findLeader();
    if (!leader) {
      return fail(
        `no leader after the recovery time\n${describeAll().join("\n")}`,
      );
    }
    const { commitIndex, members: last } = leader.getReplica().getState();
    if (commitIndex < acknowledgedIndex) fail("an acknowledged entry was lost");
    const ids = last.filter(({ role }) => role === "voter").map(({ id }) => id);
    const running = machines.filter((one) => one.isRunning())
      .map((one) => one.getReplica().id);
    const gone = ids.filter((id) => !running.includes(id));
    if (gone.length > 0 || ids.length < voters) {
      fail(`voters ${ids.join(" ")}, running ${running.join(" ")}`);
    }
  }
}
