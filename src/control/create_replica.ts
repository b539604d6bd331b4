/**
 * Runs the quorum protocol: passes events to it and executes its effects.
 *
 * Events that arrive while a sync is running are processed together after it and
 * share the next sync (group commit).
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
  isDiskFullError,
  isPassingError,
  type PersistRecord,
  type QuorumStorage,
  WRITE_RETRY_MS,
} from "../storage/index.ts";
import {
  NotLeaderError,
  ProposalRefusedError,
  UnavailableError,
} from "./control_error.ts";
import { createPendingCalls } from "./create_pending_calls.ts";

/** Options of {@link createReplica}. */
export interface CreateReplicaOptions {
  readonly storage: QuorumStorage;
  readonly timing: QuorumTiming;
  /** Number of log entries between two snapshots. */
  readonly snapshotEntries: number;
  /** Applies a command and returns the result for its proposer. */
  readonly apply: (body: string) => unknown;
  readonly save: () => string;
  readonly restore: (data: string) => void;
  readonly send: (message: QuorumMessage) => void;
  readonly sendSnapshot: (to: ReplicaId) => void;
  readonly onRoleChange: (state: QuorumState) => void;
  /**
   * Called after an unrecoverable error, such as a violated invariant; the process
   * must not continue.
   */
  readonly onFatal: (error: unknown) => void;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /**
   * Monotonic time, in ms, since which this replica has certainly received
   * nothing from a leader; by default, the time of this call.
   */
  readonly processStartedMs?: number;
  /**
   * Time at which a suspension of the machine was last detected, in ms on the
   * same clock; by default, never.
   */
  readonly getLastWakeMs?: () => number;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

/** A running replica. */
export interface Replica extends AsyncDisposable {
  getState(): QuorumState;
  /** Whether it holds the leader lease and may act without a quorum round. */
  hasLease(): boolean;
  /** Whether the disk is too full to write to. */
  isDiskFull(): boolean;
  /** Commits a command and resolves with the result of applying it. */
  propose(body: string): Promise<unknown>;
  changeMembers(members: readonly Member[]): Promise<void>;
  /** Resolves once this replica has applied all changes accepted so far. */
  confirmRead(): Promise<void>;
  deliver(message: QuorumMessage): void;
  /** Transfers leadership to the voter with the most recent acknowledgement. */
  transferLeadership(): void;
  /** Resolves once all queued events have been processed. */
  whenIdle(): Promise<void>;
}

/**
 * Messages queued while nothing can be written. Further messages are dropped, which the
 * protocol treats like loss on the network.
 */
const MAX_QUEUED_EVENTS = 20_000;

/**
 * Starts a replica on its storage.
 *
 * @param options - Storage, timing, the state machine, and the transport.
 * @returns The replica; disposing of it stops it.
 * @throws Nothing.
 * @example
 * await using replica = createReplica(options);
 */
export function createReplica(options: CreateReplicaOptions): Replica {
  const { storage, log, metrics, now, random } = options;
  const { getLastWakeMs = () => -Infinity } = options;
  const { stored } = storage;
  options.restore(stored.snapshot?.data ?? "");
  let state = createQuorumState(storage.identity.replicaId, {
    hard: stored.hard,
    snapshot: stored.snapshot?.meta,
    log: stored.log,
    timing: options.timing,
    nowMs: now(),
    processStartedMs: options.processStartedMs,
    random: random(),
  });
  let appliedIndex = state.commitIndex;
  let snapshotIndex = appliedIndex;
  let queue: QuorumEvent[] = [];
  let running: Promise<void> | undefined;
  let tickQueued = false;
  // Why the last write failed, while it is tried again.
  let writeError: unknown;
  let closed = false;
  // The read that is shared by all callers since the last batch of events, so that
  // one quorum round answers them all.
  let sharedRead: Promise<unknown> | undefined;
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
    running ??= processQueue();
  }

  async function processQueue(): Promise<void> {
    // Waits so that all events of this event loop turn share one sync.
    await Promise.resolve();
    try {
      while (queue.length > 0 && !closed) await processBatch();
      // Must be cleared in the same turn as the last check of the queue, so that
      // a later event starts a new run.
      running = undefined;
    } catch (error) {
      closed = true;
      options.onFatal(error);
    }
  }

  async function processBatch(): Promise<void> {
    const batch = queue;
    queue = [];
    sharedRead = undefined;
    tickQueued = false;
    const effects = batch.flatMap((event) => step(event));
    for (const effect of effects) {
      if (effect.type === "send" && !effect.afterSync) {
        options.send(effect.message);
      }
      // Registered before the sync, so that the proposals can be rejected when the
      // write fails.
      if (effect.type === "accepted") pending.markAccepted(effect);
    }
    // Effects rely on the writes: a vote may be sent only once it is stored.
    if (!await persist(effects)) return;
    for (const effect of effects) executeEffect(effect);
    await saveSnapshotIfDue();
  }

  function step(event: QuorumEvent): readonly QuorumEffect[] {
    const before = state;
    const context = { nowMs: now(), wokeMs: getLastWakeMs(), random: random() };
    const result = stepQuorum(before, event, context);
    assertQuorumInvariants(before, result.state);
    state = result.state;
    return result.effects;
  }

  /** Returns false if the replica was closed before all was written. */
  async function persist(effects: readonly QuorumEffect[]): Promise<boolean> {
    let records: PersistRecord[] = [];
    for (const effect of effects) {
      if (effect.type === "persist") records.push(effect);
      if (effect.type !== "installSnapshot") continue;
      if (!await write(records)) return false;
      records = [];
      const snapshot = { meta: effect.meta, data: effect.data };
      const { hard } = effect;
      const isSaved = await retryWrite(() =>
        storage.saveSnapshot({ snapshot, hard, entries: [] })
      );
      if (!isSaved) return false;
      snapshotIndex = effect.meta.index;
    }
    return await write(records);
  }

  async function write(records: readonly PersistRecord[]): Promise<boolean> {
    if (records.length === 0) return true;
    const startedMs = now();
    if (!await retryWrite(() => storage.append(records))) return false;
    metrics.timing("quorum.sync_ms", now() - startedMs);
    const last = records[records.length - 1].entries.at(-1);
    if (last) {
      queue.unshift({ type: "synced", index: last.index, term: last.term });
    }
    return true;
  }

  /** Returns false if the replica was closed before the write succeeded. */
  async function retryWrite(write: () => Promise<void>): Promise<boolean> {
    while (!closed) {
      try {
        await write();
        if (writeError !== undefined) log("diskBack");
        writeError = undefined;
        return true;
      } catch (error) {
        if (!isPassingError(error)) throw error;
        if (writeError === undefined) log("diskFull", { error });
        writeError = error;
        pending.rejectAccepted(
          new UnavailableError(
            isDiskFullError(error)
              ? "The leader's disk is full"
              : "The leader can't write to its disk",
          ),
        );
        await sleep(WRITE_RETRY_MS);
      }
    }
    return false;
  }

  function executeEffect(effect: QuorumEffect): void {
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
        return pending.rejectProposal(effect.proposalId, effect.reason);
      case "readReady":
        return pending.completeRead(effect.readId);
      case "readRefused":
        return pending.rejectRead(effect.readId);
      case "roleChanged":
        return handleRoleChange();
      case "persist":
      case "accepted":
        return;
    }
  }

  function handleRoleChange(): void {
    metrics.gauge("quorum.term", state.term);
    if (state.role !== "leader") {
      pending.rejectAccepted(
        new NotLeaderError("This replica is no longer the leader"),
      );
    }
    options.onRoleChange(state);
  }

  function applyEntry(entry: LogEntry): void {
    const result = entry.kind === "command"
      ? options.apply(entry.body)
      : undefined;
    appliedIndex = entry.index;
    metrics.count("quorum.log_entries");
    pending.completeProposal(entry, result);
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
    const isSaved = await retryWrite(() =>
      storage.saveSnapshot({ snapshot, hard, entries })
    );
    if (!isSaved) return;
    snapshotIndex = appliedIndex;
    // Saving a snapshot also rewrites the log with all later entries, so they count
    // as synced.
    const last = entries.at(-1);
    if (last) {
      enqueue({ type: "synced", index: last.index, term: last.term });
    }
    enqueue({ type: "compact", meta });
    log("snapshotSaved", { index: appliedIndex });
  }

  function propose(makeEvent: (id: number) => QuorumEvent): Promise<unknown> {
    if (closed) return Promise.reject(new ProposalRefusedError("Shut down"));
    if (writeError !== undefined) {
      return Promise.reject(
        new ProposalRefusedError(
          isDiskFullError(writeError)
            ? "The disk is full"
            : "The disk can't be written to",
        ),
      );
    }
    return pending.startProposal((id) => enqueue(makeEvent(id)));
  }

  return {
    getState: () => state,
    hasLease: () =>
      hasLeaderLease(state, { nowMs: now(), wokeMs: getLastWakeMs() }),
    isDiskFull: () => isDiskFullError(writeError),
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
      if (closed) throw new UnavailableError("The replica has shut down");
      // Without a lease, each read starts a round of messages to all members.
      sharedRead ??= pending.startRead((readId) =>
        enqueue({ type: "read", readId })
      );
      await sharedRead;
    },
    deliver: (message) => enqueue({ type: "message", message }),
    transferLeadership() {
      const to = findSuccessor(state);
      if (to !== undefined) enqueue({ type: "transfer", to });
    },
    async whenIdle() {
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

// Picks the voter with the most recent acknowledgement: one that is down may have
// an equally long log.
function findSuccessor(state: QuorumState): ReplicaId | undefined {
  const others = state.members.filter((member) =>
    member.role === "voter" && member.id !== state.selfId
  );
  const ackedMs = (id: ReplicaId) => state.peers[id]?.ackedSentMs ?? -1;
  return others.sort((a, b) => ackedMs(b.id) - ackedMs(a.id))[0]?.id;
}
