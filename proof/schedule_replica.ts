/**
 * One replica of a randomised schedule: the real step function and the real
 * state machine over a disk that may lose what was not synced.
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
  type SnapshotMeta,
  stepQuorum,
} from "../src/quorum/index.ts";
import type { RandomSource } from "./random_source.ts";

/**
 * Faults put into the program on purpose, to see that the checks catch them:
 * answers before the sync, a lease that is longer than the silence of voters,
 * a lost disk that comes back under its old id, answers to changes and claims
 * that are forgotten, an entry that takes any revision. A vote lost in a crash
 * does not show in timed runs, since a replica that starts keeps its vote back
 * for an election timeout; the model check under `spec/` shows it.
 */
export const SABOTAGES = [
  "answer_before_sync",
  "long_lease",
  "wiped_same_id",
  "forget_answers",
  "grant_twice",
  "take_any_revision",
] as const;

/** A fault put into the program on purpose. */
export type Sabotage = typeof SABOTAGES[number];

/** What survives a crash. */
interface Disk {
  hard: HardState;
  snapshot: { meta: SnapshotMeta; data: string } | undefined;
  log: LogEntry[];
}

/** What the schedule hears of a replica. */
export interface ReplicaListener {
  send(message: QuorumMessage): void;
  /** The log's entries as this replica applies them, with their results. */
  applied(entry: LogEntry, result: unknown): void;
  accepted(proposalId: number, index: number, term: number): void;
  refused(proposalId: number): void;
  readReady(readId: number, index: number): void;
  lead(term: number): void;
}

/** Options of {@link createScheduleReplica}. */
export interface ScheduleReplicaOptions {
  readonly id: string;
  readonly vm: string;
  readonly members: readonly Member[];
  readonly random: RandomSource;
  readonly listener: ReplicaListener;
  /** Entries between two snapshots. */
  readonly snapshotEntries: number;
  /** Local monotonic time, in ms, of a moment of the schedule. */
  readonly getLocalMs: () => number;
  readonly sabotage?: Sabotage;
}

/** A replica of a schedule. */
export interface ScheduleReplica {
  readonly id: string;
  readonly vm: string;
  getState(): QuorumState;
  getMachine(): StateMachine;
  getLocalMs(): number;
  /** Steps at once, or once the running sync has ended. */
  give(event: QuorumEvent): void;
  /** Ends the running sync, if one runs. */
  sync(): void;
  /** Loses what was not synced, and starts again from the disk. */
  /** Starts it anew from its disk, without its unsynced writes if so said. */
  crash(options?: { losesWrites: boolean }): void;
}

const NEW_DISK: Disk = {
  hard: { term: 0, votedFor: null },
  snapshot: undefined,
  log: [],
};

/** Makes a replica of a schedule. */
export function createScheduleReplica(
  options: ScheduleReplicaOptions,
): ScheduleReplica {
  const { id, vm, random, listener, getLocalMs, sabotage } = options;
  let disk: Disk = options.members.length === 0 ? NEW_DISK : {
    ...NEW_DISK,
    snapshot: {
      meta: { index: 0, term: 0, members: options.members },
      data: "",
    },
  };
  let machine = createStateMachine({ claimWindowMs: 1e9 });
  let state = startFromDisk();
  let waiting: QuorumEvent[] = [];
  let syncing: QuorumEffect[] | undefined;
  let snapshotIndex = state.commitIndex;

  function startFromDisk(): QuorumState {
    machine = createStateMachine({ claimWindowMs: 1e9 });
    machine.restore(disk.snapshot?.data ?? "");
    return createQuorumState(id, {
      hard: disk.hard,
      snapshot: disk.snapshot?.meta,
      log: disk.log,
      timing: sabotage === "long_lease"
        ? { ...DEFAULT_QUORUM_TIMING, leaseMs: 2_000 }
        : DEFAULT_QUORUM_TIMING,
      nowMs: getLocalMs(),
      random: random.number(),
    });
  }

  function give(event: QuorumEvent): void {
    waiting.push(event);
    if (!syncing) runBatch();
  }

  function runBatch(): void {
    while (waiting.length > 0 && !syncing) {
      const batch = waiting;
      waiting = [];
      const effects = batch.flatMap(step);
      for (const effect of effects) {
        if (effect.type === "send" && isEarly(effect)) {
          listener.send(effect.message);
        }
      }
      const writes = effects.some((effect) =>
        effect.type === "persist" || effect.type === "installSnapshot"
      );
      syncing = effects;
      if (!writes) sync();
    }
  }

  const isEarly = (effect: { afterSync: boolean }) =>
    !effect.afterSync || sabotage === "answer_before_sync";

  function step(event: QuorumEvent): readonly QuorumEffect[] {
    const before = state;
    const context = { nowMs: getLocalMs(), random: random.number() };
    const result = stepQuorum(before, event, context);
    assertQuorumInvariants(before, result.state);
    state = result.state;
    return result.effects;
  }

  function sync(): void {
    const effects = syncing;
    if (!effects) return;
    let last: LogEntry | undefined;
    for (const effect of effects) last = persist(effect) ?? last;
    if (last) waiting.unshift({ type: "synced", ...last });
    effects.forEach(carryOut);
    saveSnapshotIfDue();
    syncing = undefined;
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

  function carryOut(effect: QuorumEffect): void {
    switch (effect.type) {
      case "send":
        if (!isEarly(effect)) listener.send(effect.message);
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
        if (effect.role === "leader") listener.lead(effect.term);
        return;
      default:
        return;
    }
  }

  function apply(entry: LogEntry): void {
    const result = entry.kind === "command"
      ? machine.apply(spoil(entry.body))
      : undefined;
    listener.applied(entry, result);
  }

  function spoil(body: string): string {
    if (sabotage === "forget_answers") {
      return body.replace(/"changeId":"/, `$&${state.commitIndex}-`);
    }
    if (sabotage === "grant_twice" && random.chance(0.2)) {
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
    waiting.push({ type: "compact", meta });
  }

  function crash({ losesWrites = false } = {}): void {
    // A write that was under way may have reached the disk in part.
    for (const effect of syncing ?? []) {
      const isKept = !losesWrites && random.chance(0.5);
      if (effect.type === "persist" && isKept) {
        disk = writeRecord(disk, effect);
      } else if (effect.type === "persist") break;
    }
    syncing = undefined;
    waiting = [];
    state = startFromDisk();
    snapshotIndex = state.commitIndex;
  }

  return {
    id,
    vm,
    getState: () => state,
    getMachine: () => machine,
    getLocalMs,
    give,
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
