/**
 * One replica of a randomised schedule: the real step function and the real state
 * machine on a simulated disk that may lose unsynced writes.
 *
 * @module
 */

import {
  createStateMachine,
  type StateMachine,
} from "../src/control/state_machine.ts";
import {
  assertQuorumInvariants,
  createQuorumState,
  DEFAULT_QUORUM_TIMING,
  getMembersAt,
  getTermAt,
  type HardState,
  type LogEntry,
  type Member,
  type QuorumEffect,
  type QuorumEvent,
  type QuorumMessage,
  type QuorumState,
  type QuorumTiming,
  type SnapshotMeta,
  stepQuorum,
} from "../src/quorum/index.ts";
import type { RandomSource } from "./random_source.ts";

/**
 * Faults injected into the program to verify that the checks detect them: answers
 * before the sync, a lease longer than the time for which voters withhold their
 * votes, a wiped disk under the old replica id, forgotten answers to changes and
 * claims, an entry that accepts any revision. A vote lost in a crash is not detected
 * by timed runs, because a starting replica withholds its vote for an election
 * timeout; the model check under `spec/` covers it.
 */
export const INJECTED_FAULTS = [
  "answer_before_sync",
  "long_lease",
  "wiped_same_id",
  "forget_answers",
  "grant_twice",
  "take_any_revision",
] as const;

/** A fault injected into the program. */
export type InjectedFault = typeof INJECTED_FAULTS[number];

/** State that survives a crash. */
interface Disk {
  hard: HardState;
  snapshot: { meta: SnapshotMeta; data: string } | undefined;
  log: LogEntry[];
}

/** Callbacks from a replica to the schedule. */
export interface ReplicaListener {
  send(message: QuorumMessage): void;
  /** Called for each log entry that this replica applies, with its result. */
  applied(entry: LogEntry, result: unknown): void;
  accepted(proposalId: number, index: number, term: number): void;
  refused(proposalId: number): void;
  readReady(readId: number, index: number): void;
  becameLeader(term: number): void;
}

/** Options of {@link createScheduleReplica}. */
export interface ScheduleReplicaOptions {
  readonly id: string;
  readonly vm: string;
  readonly members: readonly Member[];
  readonly random: RandomSource;
  readonly listener: ReplicaListener;
  /** Number of log entries between two snapshots. */
  readonly snapshotEntries: number;
  /** Returns the replica's local monotonic time, in ms. */
  readonly getLocalMs: () => number;
  readonly timing?: QuorumTiming;
  readonly injectedFault?: InjectedFault;
}

/** A replica of a schedule. */
export interface ScheduleReplica {
  readonly id: string;
  readonly vm: string;
  getState(): QuorumState;
  getMachine(): StateMachine;
  getLocalMs(): number;
  /** Processes an event at once, or after the sync that is under way. */
  handle(event: QuorumEvent): void;
  /** Completes the sync that is under way, if any. */
  sync(): void;
  /**
   * Loses unsynced state and restarts from the disk. With `losesWrites` no write under
   * way reaches the disk; without it, a part of them may.
   */
  crash(options?: { losesWrites: boolean }): void;
}

const EMPTY_DISK: Disk = {
  hard: { term: 0, votedFor: null },
  snapshot: undefined,
  log: [],
};

/** Creates a replica of a schedule. */
export function createScheduleReplica(
  options: ScheduleReplicaOptions,
): ScheduleReplica {
  const { id, vm, random, listener, getLocalMs, injectedFault } = options;
  const { timing = DEFAULT_QUORUM_TIMING } = options;
  let disk: Disk = options.members.length === 0 ? EMPTY_DISK : {
    ...EMPTY_DISK,
    snapshot: {
      meta: { index: 0, term: 0, members: options.members },
      data: "",
    },
  };
  let machine = createStateMachine({ claimWindowMs: 1e9 });
  let state = startFromDisk();
  let queuedEvents: QuorumEvent[] = [];
  let effectsInSync: QuorumEffect[] | undefined;
  let snapshotIndex = state.commitIndex;

  function startFromDisk(): QuorumState {
    machine = createStateMachine({ claimWindowMs: 1e9 });
    machine.restore(disk.snapshot?.data ?? "");
    return createQuorumState(id, {
      hard: disk.hard,
      snapshot: disk.snapshot?.meta,
      log: disk.log,
      timing: injectedFault === "long_lease"
        ? { ...timing, leaseMs: 2_000 }
        : timing,
      nowMs: getLocalMs(),
      random: random.number(),
    });
  }

  function handle(event: QuorumEvent): void {
    queuedEvents.push(event);
    if (!effectsInSync) runBatch();
  }

  function runBatch(): void {
    while (queuedEvents.length > 0 && !effectsInSync) {
      const batch = queuedEvents;
      queuedEvents = [];
      const effects = batch.flatMap(step);
      for (const effect of effects) {
        if (effect.type === "send" && isSentBeforeSync(effect)) {
          listener.send(effect.message);
        }
      }
      const hasWrites = effects.some((effect) =>
        effect.type === "persist" || effect.type === "installSnapshot"
      );
      effectsInSync = effects;
      if (!hasWrites) sync();
    }
  }

  const isSentBeforeSync = (effect: { afterSync: boolean }) =>
    !effect.afterSync || injectedFault === "answer_before_sync";

  function step(event: QuorumEvent): readonly QuorumEffect[] {
    const before = state;
    const context = { nowMs: getLocalMs(), random: random.number() };
    const result = stepQuorum(before, event, context);
    assertQuorumInvariants(before, result.state);
    state = result.state;
    return result.effects;
  }

  function sync(): void {
    const effects = effectsInSync;
    if (!effects) return;
    let last: LogEntry | undefined;
    for (const effect of effects) last = persist(effect) ?? last;
    if (last) queuedEvents.unshift({ type: "synced", ...last });
    effects.forEach(execute);
    saveSnapshotIfDue();
    effectsInSync = undefined;
    runBatch();
  }

  function persist(effect: QuorumEffect): LogEntry | undefined {
    if (effect.type === "installSnapshot") {
      const { hard, meta, data } = effect;
      disk = { hard, snapshot: { meta, data }, log: [] };
      return undefined;
    }
    if (effect.type !== "persist") return undefined;
    disk = writeRecord(disk, effect);
    return effect.entries.at(-1);
  }

  function execute(effect: QuorumEffect): void {
    switch (effect.type) {
      case "send":
        if (!isSentBeforeSync(effect)) listener.send(effect.message);
        return;
      case "sendSnapshot":
        return sendSnapshot(effect.to);
      case "installSnapshot":
        machine.restore(effect.data);
        snapshotIndex = effect.meta.index;
        return;
      case "commit":
        return effect.entries.forEach(apply);
      case "accepted":
        return listener.accepted(effect.proposalId, effect.index, effect.term);
      case "refused":
        return listener.refused(effect.proposalId);
      case "readReady":
        return listener.readReady(effect.readId, effect.index);
      case "roleChanged":
        if (effect.role === "leader") listener.becameLeader(effect.term);
        return;
      default:
        return;
    }
  }

  function apply(entry: LogEntry): void {
    const result = entry.kind === "command"
      ? machine.apply(corrupt(entry.body))
      : undefined;
    listener.applied(entry, result);
  }

  function corrupt(body: string): string {
    if (injectedFault === "forget_answers") {
      return body.replace(/"changeId":"/, `$&${state.commitIndex}-`);
    }
    if (injectedFault === "grant_twice" && random.chance(0.2)) {
      return body.replace(/"key":"/, "$&again-");
    }
    return body;
  }

  function sendSnapshot(to: string): void {
    if (!disk.snapshot) return;
    const body = {
      type: "snapshot",
      ...disk.snapshot,
      sentMs: getLocalMs(),
    } as const;
    listener.send({ from: id, to, term: state.term, body });
  }

  function saveSnapshotIfDue(): void {
    const index = state.commitIndex;
    if (index - snapshotIndex < options.snapshotEntries) return;
    const meta = {
      index,
      term: getTermAt(state, index) ?? 0,
      members: getMembersAt(state, index),
    };
    const log = disk.log.filter((entry) => entry.index > index);
    disk = { ...disk, snapshot: { meta, data: machine.save() }, log };
    snapshotIndex = index;
    queuedEvents.push({ type: "compact", meta });
  }

  function crash({ losesWrites = false } = {}): void {
    // A part of the writes under way may have reached the disk.
    for (const effect of effectsInSync ?? []) {
      const isKept = !losesWrites && random.chance(0.5);
      if (effect.type === "persist" && isKept) {
        disk = writeRecord(disk, effect);
      } else if (effect.type === "persist") break;
    }
    effectsInSync = undefined;
    queuedEvents = [];
    state = startFromDisk();
    snapshotIndex = state.commitIndex;
  }

  return {
    id,
    vm,
    getState: () => state,
    getMachine: () => machine,
    getLocalMs,
    handle,
    sync,
    crash,
  };
}

function writeRecord(
  disk: Disk,
  record: { hard: HardState; entries: readonly LogEntry[] },
): Disk {
  const { hard, entries } = record;
  const from = entries[0]?.index ?? Infinity;
  const kept = disk.log.filter((entry) => entry.index < from);
  return { ...disk, hard, log: [...kept, ...entries] };
}
