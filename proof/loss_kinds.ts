/**
 * The kinds of losses of a schedule, and the planned changes of machines between them.
 *
 * @module
 */

import type { LossMachine } from "./loss_machine.ts";
import type { RandomSource } from "./random_source.ts";

/** Kinds of losses. */
export const LOSS_KINDS = [
  "disk",
  "leader's disk",
  "disk twice",
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

/** Kinds of partitions, which only some schedules have. */
export const PARTITION_KINDS = ["cut off", "all in two halves"] as const;

/** A kind of loss. */
export type LossKind =
  | typeof LOSS_KINDS[number]
  | typeof PARTITION_KINDS[number];

/** Options of {@link createLossKinds}. */
export interface LossKindsOptions {
  readonly random: RandomSource;
  /** Virtual time, in ms. */
  readonly now: () => number;
  readonly sleep: (ms: number) => Promise<void>;
  readonly machines: readonly LossMachine[];
  /** Adds a machine that is not started yet. */
  readonly addMachine: () => LossMachine;
  readonly findLeader: () => LossMachine | undefined;
  /** Whether a machine that stops passes its vote on. */
  readonly passesVotes: boolean;
}

/**
 * Plays a loss of a machine. Resolves once that machine or its successor starts, with the
 * time from which it counts as back.
 */
export type PlayLoss = (machine: LossMachine) => Promise<number>;

/** Longest duration, in ms, of a start. */
const MAX_START_MS = 900;

/** Longest time, in ms, for which a machine without its disk is down. */
const MAX_DISK_DOWN_MS = 3_000;

/** Longest time, in ms, after which a machine loses the same disk again. */
const MAX_SECOND_LOSS_MS = 2_000;

/** Longest time, in ms, for which a machine is down or suspended. */
const MAX_DOWN_MS = 3_500;

/** Longest time, in ms, for which all machines are down. */
const MAX_ALL_DOWN_MS = 1_000;

/** From the end of a machine to the start of its successor, in ms. */
const SUCCESSOR_DELAY_MS = 1_000;

/** From the start of a new machine to the end of the one that it replaces, in ms. */
const MAX_OVERLAP_MS = 2_000;

/** Longest time, in ms, that a machine that stops waits for another leader. */
const HANDOVER_TIMEOUT_MS = 1_000;

/** Time after which it then gives up passing its vote on, in ms. */
const RELEASE_TIMEOUT_MS = 1_500;

/** Ms between two looks at its own role. */
const HANDOVER_INTERVAL_MS = 10;

/** Ms between two requests of a machine that stops. */
const RELEASE_INTERVAL_MS = 50;

/** The partition of a machine that is cut off; two halves are the partitions 0 and 1. */
const CUT_OFF_PARTITION = 2;

/** Creates the losses. */
export function createLossKinds(
  options: LossKindsOptions,
): Readonly<Record<LossKind, PlayLoss>> {
  const { random, now, sleep, machines, findLeader } = options;

  async function start(machine: LossMachine): Promise<void> {
    await sleep(random.integer(100, MAX_START_MS));
    machine.start();
  }

  // A machine counts as back when its start begins.
  function beginStart(machine: LossMachine): number {
    void start(machine);
    return now();
  }

  function addSuccessor(): number {
    const added = options.addMachine();
    added.end();
    return beginStart(added);
  }

  function findOtherVoter(machine: LossMachine): string | undefined {
    const { members, selfId } = machine.getReplica().getState();
    return members.find(({ id, role }) =>
      role === "voter" && id !== selfId &&
      machines.some((one) => one.getReplica().id === id && one.isRunning())
    )?.id;
  }

  async function stopAsPlanned(machine: LossMachine): Promise<void> {
    const { id } = machine.getReplica();
    const to = findOtherVoter(machine);
    if (to !== undefined) machine.handle({ type: "transfer", to });
    const giveUpMs = now() + HANDOVER_TIMEOUT_MS;
    while (isLeader(machine) && now() < giveUpMs) {
      await sleep(HANDOVER_INTERVAL_MS);
    }
    if (!options.passesVotes) return;
    const untilMs = now() + RELEASE_TIMEOUT_MS;
    while (now() < untilMs && hasLearner(machine)) {
      await sleep(RELEASE_INTERVAL_MS);
      if (await findLeader()?.replace(id)) return;
    }
  }

  async function loseDisk(machine: LossMachine): Promise<number> {
    machine.end({ losesPower: true });
    machine.loseDisk();
    await sleep(random.integer(0, MAX_DISK_DOWN_MS));
    return beginStart(machine);
  }

  async function replace(
    machine: LossMachine,
    stop: (machine: LossMachine) => Promise<void>,
  ): Promise<number> {
    const startedMs = addSuccessor();
    await sleep(random.integer(0, MAX_OVERLAP_MS));
    await stop(machine);
    machine.remove();
    return startedMs;
  }

  async function losePower(withoutDisk?: LossMachine): Promise<number> {
    const running = machines.filter((one) => !one.hasGone());
    for (const one of running) one.end({ losesPower: true });
    withoutDisk?.loseDisk();
    await sleep(random.integer(0, MAX_ALL_DOWN_MS));
    for (const one of running) void start(one);
    return now();
  }

  async function partition(
    cut: readonly LossMachine[],
    choose: () => number,
  ): Promise<number> {
    for (const one of cut) one.setPartition(choose());
    await sleep(random.integer(200, MAX_DOWN_MS));
    for (const one of cut) one.setPartition(0);
    return now();
  }

  return {
    disk: loseDisk,
    "leader's disk": loseDisk,
    // Its replacement may be lost while the membership changes.
    async "disk twice"(machine) {
      await loseDisk(machine);
      await sleep(random.integer(MAX_START_MS, MAX_SECOND_LOSS_MS));
      return await loseDisk(machine);
    },
    async power(machine) {
      machine.end({ losesPower: true });
      await sleep(random.integer(0, MAX_DOWN_MS));
      return beginStart(machine);
    },
    async pause(machine) {
      const durationMs = random.integer(200, MAX_DOWN_MS);
      machine.freeze(durationMs);
      await sleep(durationMs);
      return now();
    },
    async restart(machine) {
      await stopAsPlanned(machine);
      machine.end();
      await sleep(random.integer(0, MAX_DOWN_MS));
      return beginStart(machine);
    },
    "planned replacement": (machine) => replace(machine, stopAsPlanned),
    "killed after its successor": (machine) =>
      replace(machine, () => Promise.resolve()),
    async "gone before its successor"(machine) {
      machine.remove();
      await sleep(SUCCESSOR_DELAY_MS);
      return addSuccessor();
    },
    // Other machines may be lost while the successor stands by.
    addition: () => Promise.resolve(addSuccessor()),
    // The successor has had its time, so the next loss may follow at once.
    async "planned end"(machine) {
      await stopAsPlanned(machine);
      machine.remove();
      return -Infinity;
    },
    "cut off": (machine) =>
      partition([machine], () => CUT_OFF_PARTITION + machines.indexOf(machine)),
    "all in two halves": () => partition(machines, () => random.integer(0, 1)),
    "all power": () => losePower(),
    "all power and a disk": losePower,
  };
}

function isLeader(machine: LossMachine): boolean {
  return machine.getReplica().getState().role === "leader";
}

function hasLearner(machine: LossMachine): boolean {
  const { members } = machine.getReplica().getState();
  return members.some(({ role }) => role === "learner");
}
