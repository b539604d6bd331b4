/**
 * A seeded simulation of control machines that are lost one at a time, with the fleet's
 * own repair of the membership.
 *
 * The losses keep to one rule alone: a machine counts as lost while it is down or
 * suspended and for a fixed time after its start, and no more machines are lost at once
 * than the voters tolerate. By the end of that time the quorum must tolerate the next loss.
 *
 * @module
 */

import type { Member } from "../src/quorum/index.ts";
import { createLossChecks } from "./loss_checks.ts";
import {
  createLossKinds,
  LOSS_KINDS,
  type LossKind,
  PARTITION_KINDS,
} from "./loss_kinds.ts";
import {
  createLossMachine,
  type InjectedLossFault,
  type LossMachine,
} from "./loss_machine.ts";
import { createLossNetwork } from "./loss_network.ts";
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
  /** Mean time, in ms, between two elections without a loss; by default there are none. */
  readonly electionIntervalMs?: number;
  /** Whether machines are also cut off from others; by default they aren't. */
  readonly hasPartitions?: boolean;
  /** A fault injected into the repair, which the run must detect. */
  readonly injectedFault?: InjectedLossFault;
}

/** Counts of one run. */
export interface LossScheduleReport {
  readonly elections: number;
  readonly acknowledged: number;
  readonly losses: Readonly<Record<string, number>>;
  /** Longest time, in ms, from a start until the next loss is tolerated. */
  readonly repairMs: Readonly<Record<string, number>>;
}

const STEP_MS = 2;

/** Ms between two commands that are proposed. */
const PROPOSAL_INTERVAL_MS = 40;

/** Time before the first loss, in ms. */
const FIRST_LOSS_MS = 6_000;

/**
 * Time at the end in which no loss begins, in ms: the last ones end, and then the quorum
 * is repaired.
 */
const RECOVERY_MS = 22_000;

/** Pause after the time of a loss is over, in ms. */
const SHORT_PAUSE_MS = 10;

/** Longest such pause, in ms. */
const MAX_PAUSE_MS = 3_000;

/** Runs one schedule; throws an error if a check fails. */
export async function runLossSchedule(
  options: RunLossScheduleOptions,
): Promise<LossScheduleReport> {
  const {
    seed,
    toleratedLosses = 1,
    faultMs = 90_000,
    catchUpMs = 4_000,
    electionIntervalMs = Infinity,
    hasPartitions = false,
    injectedFault,
  } = options;
  const random = createRandomSource(seed);
  // Apart, so that a seed plays the same losses with and without other elections.
  const electionRandom = createRandomSource(seed);
  const kinds = hasPartitions
    ? [...LOSS_KINDS, ...PARTITION_KINDS]
    : LOSS_KINDS;
  const voters = 2 * toleratedLosses + 1;
  const machines: LossMachine[] = [];
  const losses: Record<string, number> = {};
  const repairMs: Record<string, number> = {};
  const waiting: { dueMs: number; resume: () => void }[] = [];
  // One for each loss that is tolerated at once.
  const lostUntilMs = Array.from(
    { length: toleratedLosses },
    () => FIRST_LOSS_MS,
  );
  const lost = new Set<LossMachine>();
  const history: string[] = [];
  let timeMs = 0;
  let vmCount = 0;
  let elections = 0;
  let areAllLost = false;
  let nextElectionMs = electionRandom.exponential(electionIntervalMs);
  let failure: Error | undefined;

  // Also recorded, as the program under test catches what its callbacks throw.
  function fail(what: string): never {
    const lines = [what, ...describeMachines(), ...history.slice(-12)];
    failure ??= new Error(`Seed ${seed}: ${lines.join("\n")}`);
    throw failure;
  }

  const now = () => timeMs;
  const sleep = (ms: number) =>
    new Promise<void>((resume) => waiting.push({ dueMs: timeMs + ms, resume }));
  const checks = createLossChecks({ now, machines, fail });
  const network = createLossNetwork({ random, now, machines, fail });
  const { findLeader } = checks;

  function addMachine(
    vm: string,
    members: readonly Member[] = [],
  ): LossMachine {
    const machine = createLossMachine({
      vm,
      members,
      voters,
      random,
      injectedFault,
      now,
      send: network.send,
      onApplied: checks.checkApplied,
      onLeader(id, term) {
        elections += 1;
        checks.checkLeader(id, term);
      },
    });
    machines.push(machine);
    return machine;
  }

  const makeVm = () => `vm-${++vmCount}`;
  const play = createLossKinds({
    random,
    now,
    sleep,
    machines,
    addMachine: () => addMachine(makeVm()),
    findLeader,
    passesVotes: injectedFault !== "kept_vote",
  });

  async function join(
    machine: LossMachine,
    request: NonNullable<ReturnType<LossMachine["run"]>>,
  ): Promise<void> {
    await sleep(random.integer(1, 6));
    const leader = findLeader();
    if (leader?.getPartition() !== machine.getPartition()) return;
    const { accepted } = await leader.handleJoin(request);
    await sleep(random.integer(1, 20));
    if (accepted && machine.isRunning()) machine.setJoined(request.replicaId);
  }

  const countLost = () => lostUntilMs.filter((ms) => ms > timeMs).length;

  function mayPlay(kind: LossKind): boolean {
    const hasStandby = machines.filter((one) => !one.hasGone()).length > voters;
    if (kind === "addition") return !hasStandby;
    if (kind === "planned end") return hasStandby && countLost() === 0;
    return !kind.startsWith("all") || countLost() === 0;
  }

  function chooseMachine(kind: LossKind): LossMachine {
    const leader = findLeader();
    if (kind === "leader's disk" && leader && !lost.has(leader)) return leader;
    return random.pick(
      machines.filter((one) => one.isRunning() && !lost.has(one)),
    );
  }

  // The other losses at this time take their share of what is tolerated.
  const isRepaired = (otherLosses: number) =>
    checks.countTolerated() >= toleratedLosses - otherLosses;

  async function waitForRepair(kind: LossKind, sinceMs: number): Promise<void> {
    const untilMs = Math.max(timeMs, sinceMs + catchUpMs);
    const getOthers = () => countLost() - 1;
    while (timeMs < untilMs && !isRepaired(getOthers())) await sleep(STEP_MS);
    if (sinceMs > 0) {
      const tookMs = Math.max(0, timeMs - sinceMs);
      repairMs[kind] = Math.max(repairMs[kind] ?? 0, tookMs);
    }
    await sleep(Math.max(0, untilMs - timeMs));
    if (!isRepaired(getOthers())) {
      fail(`${kind}: ${checks.countTolerated()} more losses are tolerated`);
    }
  }

  async function loseMachine(slot: number): Promise<void> {
    const kind = random.pick<LossKind>(kinds);
    if (!mayPlay(kind)) return;
    const machine = chooseMachine(kind);
    losses[kind] = (losses[kind] ?? 0) + 1;
    history.push(`${timeMs} ${kind}: ${machine.getReplica().id}`);
    lostUntilMs[slot] = Infinity;
    areAllLost = kind.startsWith("all");
    const before = new Set(machines);
    lost.add(machine);
    const sinceMs = await play[kind](machine);
    const added = machines.filter((one) => !before.has(one));
    for (const one of added) lost.add(one);
    await waitForRepair(kind, sinceMs);
    for (const one of [machine, ...added]) lost.delete(one);
    areAllLost = false;
    // Mostly right behind the limit, where the repair has had the least time.
    lostUntilMs[slot] = timeMs +
      (random.chance(0.7)
        ? SHORT_PAUSE_MS
        : random.integer(SHORT_PAUSE_MS, MAX_PAUSE_MS));
  }

  function loseMachines(): void {
    lostUntilMs.forEach((untilMs, slot) => {
      if (timeMs < untilMs || areAllLost) return;
      loseMachine(slot).catch((error) => failure ??= error as Error);
    });
  }

  function propose(): void {
    findLeader()?.propose(JSON.stringify({
      type: "claimBegin",
      clientAccount: "dock",
      key: `key-${timeMs}`,
      requestHash: "h",
      holder: "entry-1/1",
      nowMs: timeMs,
    }));
  }

  function transferLeadership(): void {
    const leader = findLeader();
    if (timeMs < nextElectionMs || timeMs > faultMs || !leader) return;
    nextElectionMs = timeMs + electionRandom.exponential(electionIntervalMs);
    const running = machines.filter((one) => one.isRunning() && one !== leader);
    const to = electionRandom.pick(running).getReplica().id;
    leader.handle({ type: "transfer", to });
  }

  async function runStep(): Promise<void> {
    timeMs += STEP_MS;
    for (const one of waiting.filter(({ dueMs }) => dueMs <= timeMs)) {
      waiting.splice(waiting.indexOf(one), 1);
      one.resume();
    }
    network.deliver();
    if (timeMs < faultMs) loseMachines();
    for (const machine of machines) {
      if (!machine.isRunning()) continue;
      const request = machine.run();
      if (request) void join(machine, request);
    }
    transferLeadership();
    if (timeMs % PROPOSAL_INTERVAL_MS === 0) propose();
    checks.checkStep();
    // Lets promises that were resolved in this step go on.
    for (let turn = 0; turn < 8; turn++) await null;
    if (failure) throw failure;
  }

  function describeMachines(): string[] {
    return machines.filter((one) => !one.hasGone()).map((one) => {
      const { selfId, role, term, members } = one.getReplica().getState();
      const known = members.map((member) => `${member.id}:${member.role}`);
      return `${selfId} ${role} ${term}: ${known.join(" ")}`;
    });
  }

  const vms = Array.from({ length: voters }, makeVm);
  const members: Member[] = vms.map((vm) => ({
    id: `${vm}.0`,
    vm,
    address: vm,
    role: "voter",
  }));
  for (const vm of vms) addMachine(vm, members);
  while (timeMs < faultMs + RECOVERY_MS) await runStep();
  if (!findLeader()) fail("no leader after the recovery time");
  if (!isRepaired(0)) fail("not repaired after the recovery time");
  const acknowledged = checks.getAcknowledged();
  return { elections, acknowledged, losses, repairMs };
}
