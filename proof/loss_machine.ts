/**
 * One control machine of a run of losses: a replica on a simulated disk with the
 * fleet's own membership manager and join handler.
 *
 * @module
 */

import { createJoinHandler } from "../src/control/create_join_handler.ts";
import { OUTSIDE_TIMEOUT_MS } from "../src/control/keep_joined.ts";
import { createMembershipManager } from "../src/fleet/create_membership_manager.ts";
import {
  MEMBERS_INTERVAL_MS,
  QUORUM_TIMING,
  VOTER_TIMEOUT_MS,
} from "../src/fleet/quorum_timing.ts";
import {
  hasLeaderLease,
  type LogEntry,
  type Member,
  type QuorumEvent,
  type QuorumMessage,
} from "../src/quorum/index.ts";
import type { wire } from "../src/wire/index.ts";
import type { RandomSource } from "./random_source.ts";
import { createScheduleReplica } from "./schedule_replica.ts";

/**
 * Faults injected into the repair to verify that the checks detect them: a voter that
 * is missed after 2.5 s only, a stopping machine that keeps its vote, and a removed
 * replica that never joins again.
 */
export const INJECTED_LOSS_FAULTS = [
  "late_timeout",
  "kept_vote",
  "no_return",
] as const;

/** A fault injected into the repair. */
export type InjectedLossFault = typeof INJECTED_LOSS_FAULTS[number];

/** Time-out of the injected fault, in ms. */
const LATE_TIMEOUT_MS = 2_500;

/** Options of {@link createLossMachine}. */
export interface LossMachineOptions {
  readonly vm: string;
  readonly members: readonly Member[];
  readonly voters: number;
  readonly random: RandomSource;
  /** Virtual time, in ms. */
  readonly now: () => number;
  readonly send: (message: QuorumMessage) => void;
  readonly onApplied: (id: string, entry: LogEntry) => void;
  readonly onLeader: (id: string, term: number) => void;
  readonly injectedFault?: InjectedLossFault;
}

/** A control machine; its process may be down or suspended. */
export type LossMachine = ReturnType<typeof createLossMachine>;

const CLUSTER_ID = "cluster";

const FLEET_ID = "fleet";

const REPLICA_TICK_MS = 60;

/** Delay before a request to join is sent again, in ms. */
const JOIN_INTERVAL_MS = 250;

/** Longest duration of a sync, in ms. */
const MAX_SYNC_MS = 12;

interface PendingChange {
  index: number;
  term: number;
  readonly resolve: () => void;
  readonly reject: (error: Error) => void;
}

/** Creates a machine whose process runs. */
export function createLossMachine(options: LossMachineOptions) {
  const { vm, random, now } = options;
  const clockRate = 0.97 + random.number() * 0.06;
  const clockOffsetMs = random.number() * 1e6;
  const getLocalMs = () => clockOffsetMs + now() * clockRate;
  let diskNumber = 0;
  let nextProposalId = 1;
  let isJoined = options.members.length > 0;
  let isDown = false;
  let hasGone = false;
  let frozenUntilMs = 0;
  let partition = 0;
  let nextTickMs = 0;
  let nextMembersMs = 0;
  let nextJoinMs = 0;
  let syncDueMs = 0;
  let changes = new Map<number, PendingChange>();
  let replica = createReplica(options.members);

  function createReplica(members: readonly Member[]) {
    const id = `${vm}.${diskNumber}`;
    diskNumber += 1;
    return createScheduleReplica({
      id,
      vm,
      members,
      random,
      snapshotEntries: 300,
      timing: QUORUM_TIMING,
      getLocalMs,
      listener: {
        send: options.send,
        applied(entry) {
          options.onApplied(id, entry);
          settleChanges(entry);
        },
        accepted(proposalId, index, term) {
          const change = changes.get(proposalId);
          if (change) Object.assign(change, { index, term });
        },
        refused: (proposalId) => rejectChange(proposalId),
        readReady: () => {},
        becameLeader(term) {
          options.onLeader(id, term);
          manager.reset();
        },
      },
    });
  }

  const replicaPort = {
    getState: () => replica.getState(),
    hasLease: () => hasLeaderLease(replica.getState(), { nowMs: getLocalMs() }),
    changeMembers: (members: readonly Member[]) =>
      new Promise<void>((resolve, reject) => {
        const proposalId = nextProposalId++;
        changes.set(proposalId, { index: 0, term: 0, resolve, reject });
        replica.handle({ type: "changeMembers", proposalId, members });
      }),
  };

  function createManager() {
    return createMembershipManager({
      replica: replicaPort,
      voters: options.voters,
      responseTimeoutMs: options.injectedFault === "late_timeout"
        ? LATE_TIMEOUT_MS
        : VOTER_TIMEOUT_MS,
      tickIntervalMs: MEMBERS_INTERVAL_MS,
      now: getLocalMs,
      log: () => {},
      metrics: { gauge: () => {} },
    });
  }

  let manager = createManager();
  const handleJoin = createJoinHandler({
    fleetId: FLEET_ID,
    replica: replicaPort as Parameters<typeof createJoinHandler>[0]["replica"],
    getIdentity: () => ({
      formatVersion: 1,
      fleetId: FLEET_ID,
      vm,
      replicaId: replica.id,
      clusterId: CLUSTER_ID,
    }),
    getLeaderAddress: () => "",
    isKnownVm: () => true,
  });

  function settleChanges(entry: LogEntry): void {
    for (const [proposalId, change] of changes) {
      if (change.index !== entry.index) continue;
      if (change.term !== entry.term) rejectChange(proposalId);
      else {
        changes.delete(proposalId);
        change.resolve();
      }
    }
  }

  function rejectChange(proposalId: number): void {
    changes.get(proposalId)?.reject(new Error("refused"));
    changes.delete(proposalId);
  }

  function rejectChanges(): void {
    for (const proposalId of [...changes.keys()]) rejectChange(proposalId);
  }

  function isOutside(): boolean {
    if (!isJoined) return true;
    if (options.injectedFault === "no_return") return false;
    const { role, leaderContactMs } = replica.getState();
    return role !== "leader" &&
      getLocalMs() - leaderContactMs >= OUTSIDE_TIMEOUT_MS;
  }

  const isRunning = () => !isDown && !hasGone && now() >= frozenUntilMs;

  return {
    vm,
    getReplica: () => replica,
    isRunning,
    hasGone: () => hasGone,
    /** When it goes on after a suspension. */
    getFrozenUntilMs: () => frozenUntilMs,
    /** Only machines of the same partition reach each other. */
    getPartition: () => partition,
    setPartition(next: number): void {
      partition = next;
    },
    isOutside,
    hasLease: replicaPort.hasLease,
    replace: (id: string) => manager.replace(id),
    propose(body: string): number {
      const proposalId = nextProposalId++;
      replica.handle({ type: "propose", proposalId, body });
      return proposalId;
    },
    handle(event: QuorumEvent): void {
      replica.handle(event);
    },
    deliver(message: QuorumMessage): void {
      // The messages of a cluster that it has not joined yet are dropped.
      if (isJoined) replica.handle({ type: "message", message });
    },
    /** Runs the process for a step, and returns a request to join if one is due. */
    run(): wire.JoinRequest | undefined {
      if (replica.getState().role !== "leader") rejectChanges();
      if (now() >= syncDueMs) {
        replica.sync();
        syncDueMs = now() + random.integer(1, MAX_SYNC_MS);
      }
      if (now() >= nextTickMs) {
        nextTickMs = now() + REPLICA_TICK_MS;
        if (isJoined) replica.handle({ type: "tick" });
      }
      if (now() >= nextMembersMs) {
        nextMembersMs = now() + MEMBERS_INTERVAL_MS;
        void manager.tick();
      }
      if (now() < nextJoinMs || !isOutside()) return undefined;
      nextJoinMs = now() + JOIN_INTERVAL_MS;
      return {
        fleetId: FLEET_ID,
        clusterId: isJoined ? CLUSTER_ID : "",
        replicaId: replica.id,
        vm,
        address: vm,
        isObserver: false,
      };
    },
    handleJoin,
    /** Records that the leader has accepted it. */
    setJoined(replicaId: string): void {
      if (replicaId !== replica.id || isJoined) return;
      isJoined = true;
    },
    freeze(durationMs: number): void {
      frozenUntilMs = now() + durationMs;
    },
    /** Ends the process; writes under way may be lost. */
    end({ losesPower = false } = {}): void {
      isDown = true;
      rejectChanges();
      replica.crash({ losesWrites: losesPower });
    },
    /** Ends the process for good. */
    remove(): void {
      hasGone = true;
      rejectChanges();
    },
    loseDisk(): void {
      replica = createReplica([]);
      isJoined = false;
    },
    /** Starts the process on what its disk holds. */
    start(): void {
      changes = new Map();
      replica.crash();
      manager = createManager();
      isDown = false;
      nextJoinMs = now();
    },
  };
}
