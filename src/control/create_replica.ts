/**
 * Drives the quorum protocol: gives it events, carries out its effects.
 *
 * Events that arrive while a sync runs are stepped together afterwards and
 * share the next sync: group commit.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  assertQuorumInvariants,
  createQuorumState,
  getMembersAt,
  getTermAt,
  hasLeaderLease,
  type LogEntry,
  type Member,
  type QuorumEffect,
  type QuorumEvent,
  type QuorumMessage,
  type QuorumState,
  type QuorumTiming,
  type ReplicaId,
  type SnapshotMeta,
  stepQuorum,
} from "../quorum/index.ts";
import {
  DISK_FULL_RETRY_MS,
  type PersistRecord,
  type QuorumStorage,
} from "../storage/index.ts";
import {
  NotLeaderError,
  ProposalRefusedError,
  UnavailableError,
} from "./control_error.ts";
import { createPendingCalls } from "./create_pending_calls.ts";

/** What a replica needs from the program around it. */
export interface CreateReplicaOptions {
  readonly storage: QuorumStorage;
  readonly timing: QuorumTiming;
  /** Entries between two snapshots. */
  readonly snapshotEntries: number;
  /** Applies a command and gives the proposer's result. */
  readonly apply: (body: string) => unknown;
  readonly save: () => string;
  readonly restore: (data: string) => void;
  readonly send: (message: QuorumMessage) => void;
  readonly sendSnapshot: (to: ReplicaId) => void;
  readonly onRoleChange: (state: QuorumState) => void;
  /** Called where an invariant breaks; the process must not go on. */
  readonly onFatal: (error: unknown) => void;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /**
   * Monotonic time, in ms, since which it surely heard no leader; that of the
   * call by default.
   */
  readonly quietSinceMs?: number;
  /**
   * When the machine was last found to have been suspended, in ms of the same
   * clock; never by default.
   */
  readonly getWokeMs?: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** A running replica. */
export interface Replica extends AsyncDisposable {
  getState(): QuorumState;
  /** Whether it leads and may act without asking. */
  hasLease(): boolean;
  /** Whether the disk refuses writes. */
  isDiskFull(): boolean;
  /** Commits a command and resolves with what applying it gave. */
  propose(body: string): Promise<unknown>;
  changeMembers(members: readonly Member[]): Promise<void>;
  /** Resolves once this replica has surely applied all accepted changes. */
  confirmRead(): Promise<void>;
  deliver(message: QuorumMessage): void;
  /** Asks the voter that answered last to take over. */
  transferLeadership(): void;
  /** Resolves once all that was given to it is carried out. */
  settle(): Promise<void>;
}

/** Messages that wait while the disk is full; more are dropped, as on a wire. */
const MAX_QUEUED_EVENTS = 20_000;

/**
 * Starts a replica on its storage.
 *
 * @param options - Storage, times, and the functions that connect it.
 * @returns The replica; disposing of it stops it.
 * @throws Nothing.
 * @example
 * await using replica = createReplica(options);
 */
export function createReplica(options: CreateReplicaOptions): Replica {
  const { storage, log, metrics, now, random } = options;
  const { getWokeMs = () => -Infinity } = options;
  const { stored } = storage;
  options.restore(stored.snapshot?.data ?? "");
  let state = createQuorumState(storage.identity.replicaId, {
    hard: stored.hard,
    snapshot: stored.snapshot?.meta,
    log: stored.log,
    timing: options.timing,
    nowMs: now(),
    quietSinceMs: options.quietSinceMs,
    random: random(),
  });
  let appliedIndex = state.commitIndex;
  let snapshotIndex = appliedIndex;
  let queue: QuorumEvent[] = [];
  let running: Promise<void> | undefined;
  let tickQueued = false;
  let diskFull = false;
  let closed = false;
  // Reads that one look at the quorum answers: those asked for since the last batch.
  let gatheredReads: Promise<unknown> | undefined;
  const pending = createPendingCalls({
    now,
    onCommit: (tookMs) => metrics.timing("quorum.commit_ms", tookMs),
  });

  const timer = setInterval(() => {
    if (tickQueued) return;
    tickQueued = true;
    enqueue({ type: "tick" });
  }, Math.max(5, options.timing.heartbeatIntervalMs / 2));

  function enqueue(event: QuorumEvent): void {
    if (closed) return;
    if (event.type === "message" && queue.length > MAX_QUEUED_EVENTS) return;
    queue.push(event);
    running ??= drain();
  }

  async function drain(): Promise<void> {
    // Lets all that arrived in this turn share one sync.
    await Promise.resolve();
    try {
      while (queue.length > 0 && !closed) await runBatch();
      // In the same turn as the last look at the queue: what comes after it
      // starts anew.
      running = undefined;
    } catch (error) {
      closed = true;
      options.onFatal(error);
    }
  }

  async function runBatch(): Promise<void> {
    const batch = queue;
    queue = [];
    gatheredReads = undefined;
    tickQueued = false;
    const effects = batch.flatMap((event) => step(event));
    for (const effect of effects) {
      if (effect.type === "send" && !effect.afterSync) {
        options.send(effect.message);
      }
      // Before the sync, so that a disk that refuses can give them up.
      if (effect.type === "accepted") pending.accept(effect);
    }
    await persist(effects);
    for (const effect of effects) carryOut(effect);
    await saveSnapshotIfDue();
  }

  function step(event: QuorumEvent): readonly QuorumEffect[] {
    const before = state;
    const context = { nowMs: now(), wokeMs: getWokeMs(), random: random() };
    const result = stepQuorum(before, event, context);
    assertQuorumInvariants(before, result.state);
    state = result.state;
    return result.effects;
  }

  async function persist(effects: readonly QuorumEffect[]): Promise<void> {
    let records: PersistRecord[] = [];
    for (const effect of effects) {
      if (effect.type === "persist") records.push(effect);
      if (effect.type !== "installSnapshot") continue;
      await write(records);
      records = [];
      const snapshot = { meta: effect.meta, data: effect.data };
      const { hard } = effect;
      await untilDiskTakes(() =>
        storage.saveSnapshot({ snapshot, hard, entries: [] })
      );
      snapshotIndex = effect.meta.index;
    }
    await write(records);
  }

  async function write(records: readonly PersistRecord[]): Promise<void> {
    if (records.length === 0) return;
    const startedMs = now();
    await untilDiskTakes(() => storage.append(records));
    metrics.timing("quorum.sync_ms", now() - startedMs);
    const last = records[records.length - 1].entries.at(-1);
    if (!last) return;
    queue.unshift({ type: "synced", index: last.index, term: last.term });
  }

  async function untilDiskTakes(write: () => Promise<void>): Promise<void> {
    while (!closed) {
      try {
        await write();
        if (diskFull) log("diskBack");
        diskFull = false;
        return;
      } catch (error) {
        if (!isDiskFullError(error)) throw error;
        if (!diskFull) log("diskFull", { error });
        diskFull = true;
        pending.loseProposals(
          new UnavailableError("The leader's disk is full"),
        );
        await sleep(DISK_FULL_RETRY_MS);
      }
    }
  }

  function carryOut(effect: QuorumEffect): void {
    switch (effect.type) {
      case "send":
        if (effect.afterSync) options.send(effect.message);
        return;
      case "sendSnapshot":
        return options.sendSnapshot(effect.to);
      case "installSnapshot":
        options.restore(effect.data);
        appliedIndex = effect.meta.index;
        log("snapshotInstalled", { index: effect.meta.index });
        return;
      case "commit":
        return effect.entries.forEach(applyEntry);
      case "refused":
        return pending.refuse(effect.proposalId, effect.reason);
      case "readReady":
        return pending.settleRead(effect.readId);
      case "readRefused":
        return pending.refuseRead(effect.readId);
      case "roleChanged":
        return takeRoleChange();
      case "persist":
      case "accepted":
        return;
    }
  }

  function takeRoleChange(): void {
    metrics.gauge("quorum.term", state.term);
    if (state.role !== "leader") {
      pending.loseProposals(new NotLeaderError("This replica lost its lead"));
    }
    options.onRoleChange(state);
  }

  function applyEntry(entry: LogEntry): void {
    const result = entry.kind === "command"
      ? options.apply(entry.body)
      : undefined;
    appliedIndex = entry.index;
    metrics.count("quorum.log_entries");
    pending.settle(entry, result);
  }

  async function saveSnapshotIfDue(): Promise<void> {
    if (appliedIndex - snapshotIndex < options.snapshotEntries) return;
    const meta: SnapshotMeta = {
      index: appliedIndex,
      term: getTermAt(state, appliedIndex) ?? 0,
      members: getMembersAt(state, appliedIndex),
    };
    const snapshot = { meta, data: options.save() };
    const hard = { term: state.term, votedFor: state.votedFor };
    const entries = state.log.filter((entry) => entry.index > appliedIndex);
    await untilDiskTakes(() =>
      storage.saveSnapshot({ snapshot, hard, entries })
    );
    snapshotIndex = appliedIndex;
    // The saved log holds every entry, so what it holds counts as synced.
    const last = entries.at(-1);
    if (last) {
      enqueue({ type: "synced", index: last.index, term: last.term });
    }
    enqueue({ type: "compact", meta });
    log("snapshotSaved", { index: appliedIndex });
  }

  function propose(makeEvent: (id: number) => QuorumEvent): Promise<unknown> {
    if (closed) return Promise.reject(new ProposalRefusedError("Stopped"));
    if (diskFull) {
      return Promise.reject(new ProposalRefusedError("The disk is full"));
    }
    return pending.startProposal((id) => enqueue(makeEvent(id)));
  }

  return {
    getState: () => state,
    hasLease: () =>
      hasLeaderLease(state, { nowMs: now(), wokeMs: getWokeMs() }),
    isDiskFull: () => diskFull,
    propose: (body) =>
      propose((proposalId) => ({ type: "propose", proposalId, body })),
    async changeMembers(members) {
      await propose((proposalId) => ({
        type: "changeMembers",
        proposalId,
        members,
      }));
    },
    async confirmRead() {
      if (closed) throw new UnavailableError("Stopped");
      // Without a lease each read begins a round of messages to all members.
      gatheredReads ??= pending.startRead((readId) =>
        enqueue({ type: "read", readId })
      );
      await gatheredReads;
    },
    deliver: (message) => enqueue({ type: "message", message }),
    transferLeadership() {
      const to = findSuccessor(state);
      if (to !== undefined) enqueue({ type: "transfer", to });
    },
    async settle() {
      while (running) await running;
    },
    async [Symbol.asyncDispose]() {
      clearInterval(timer);
      closed = true;
      await running;
      pending.close();
      await storage[Symbol.asyncDispose]();
    },
  };
}

function isDiskFullError(error: unknown): boolean {
  const { code } = error as NodeJS.ErrnoException;
  return code === "ENOSPC" || code === "EDQUOT";
}

// The voter that answered last: one that is down may hold as much.
function findSuccessor(state: QuorumState): ReplicaId | undefined {
  const others = state.members.filter((member) =>
    member.role === "voter" && member.id !== state.selfId
  );
  const ackedMs = (id: ReplicaId) => state.peers[id]?.ackedSentMs ?? -1;
  return others.sort((a, b) => ackedMs(b.id) - ackedMs(a.id))[0]?.id;
}
