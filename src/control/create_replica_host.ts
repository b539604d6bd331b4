/**
 * Connects a replica with its transport; every control process uses it.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { QuorumState, QuorumTiming, ReplicaId } from "../quorum/index.ts";
import type { TlsFilesSettings } from "../settings/index.ts";
import type { QuorumStorage } from "../storage/index.ts";
import {
  createPeerTransport,
  type PeerTransport,
} from "./create_peer_transport.ts";
import { createReplica, type Replica } from "./create_replica.ts";

/** The state machine that the replica's commands are applied to. */
export interface ReplicatedStateMachine {
  apply(body: string): unknown;
  save(): string;
  restore(data: string): void;
}

/** Options of {@link createReplicaHost}. */
export interface CreateReplicaHostOptions {
  readonly storage: QuorumStorage;
  readonly machine: ReplicatedStateMachine;
  readonly timing: QuorumTiming;
  readonly snapshotEntries: number;
  /** Address of a replica; undefined if unknown. */
  readonly getAddress: (
    id: ReplicaId,
    state: QuorumState,
  ) => string | undefined;
  /** Called with the sender of each received message and its address. */
  readonly onSender?: (id: ReplicaId, address: string) => void;
  /** Called once each time this replica becomes leader. */
  readonly onLeadershipGained: () => void;
  /** Called once each time this replica loses leadership. */
  readonly onLeadershipLost: () => void;
  readonly onFatal: (error: unknown) => void;
  readonly tls?: TlsFilesSettings;
  /**
   * Monotonic time, in ms, since which this replica has certainly received
   * nothing from a leader.
   */
  readonly processStartedMs?: number;
  /**
   * Time at which a suspension of the machine was last detected, in ms on the
   * same clock; by default, never.
   */
  readonly getLastWakeMs?: () => number;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** A replica with its transport. */
export interface ReplicaHost {
  readonly replica: Replica;
  readonly transport: PeerTransport;
}

/**
 * Starts a replica on its storage and connects it with its peers.
 *
 * @param options - Storage, state machine, timing, and callbacks for leadership
 * changes.
 * @returns The replica and its transport, to be disposed of by the caller.
 * @throws Nothing.
 * @example
 * const { replica, transport } = createReplicaHost(options);
 */
export function createReplicaHost(
  options: CreateReplicaHostOptions,
): ReplicaHost {
  const { storage, machine, log, metrics, now } = options;
  let isLeading = false;
  let loggedRole = "";
  const transport = createPeerTransport({
    getClusterId: () => storage.identity.clusterId,
    getSelfId: () => storage.identity.replicaId,
    getAddress: (id) => options.getAddress(id, replica.getState()),
    getTerm: () => replica.getState().term,
    deliver: (message) => replica.deliver(message),
    onSender: options.onSender,
    readSnapshot: () => storage.readSnapshot(),
    now,
    tls: options.tls,
    log,
  });
  const replica: Replica = createReplica({
    storage,
    timing: options.timing,
    snapshotEntries: options.snapshotEntries,
    apply: machine.apply,
    save: machine.save,
    restore: machine.restore,
    send: transport.send,
    sendSnapshot: transport.sendSnapshot,
    onRoleChange: handleRoleChange,
    onFatal: options.onFatal,
    log,
    metrics,
    now,
    processStartedMs: options.processStartedMs,
    getLastWakeMs: options.getLastWakeMs,
    random: Math.random,
  });

  function handleRoleChange(state: QuorumState): void {
    const { role, term, leaderId } = state;
    const current = `${role} ${term} ${leaderId}`;
    if (current !== loggedRole) log("roleChanged", { role, term, leaderId });
    loggedRole = current;
    const wasLeading = isLeading;
    isLeading = role === "leader";
    if (isLeading && !wasLeading) options.onLeadershipGained();
    if (!isLeading && wasLeading) options.onLeadershipLost();
  }

  return { replica, transport };
}
