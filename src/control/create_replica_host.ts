/**
 * A replica with its transport: what every control process is built on.
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

/** What the replica's commands change. */
export interface ReplicatedMachine {
  apply(body: string): unknown;
  save(): string;
  restore(data: string): void;
}

/** Options of {@link createReplicaHost}. */
export interface CreateReplicaHostOptions {
  readonly storage: QuorumStorage;
  readonly machine: ReplicatedMachine;
  readonly timing: QuorumTiming;
  readonly snapshotEntries: number;
  /** Where a replica is reached; undefined where that is not known. */
  readonly getAddress: (
    id: ReplicaId,
    state: QuorumState,
  ) => string | undefined;
  /** Called with whoever sends messages, and where it is reached. */
  readonly onSender?: (id: ReplicaId, address: string) => void;
  /** Called once when it begins to lead. */
  readonly onLead: () => void;
  /** Called once when it leads no more. */
  readonly onLeadLost: () => void;
  readonly onFatal: (error: unknown) => void;
  readonly tls?: TlsFilesSettings;
  /** Monotonic time, in ms, since which it surely heard no leader. */
  readonly quietSinceMs?: number;
  /** When the machine was last found to have been suspended; never by default. */
  readonly getWokeMs?: () => number;
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
 * Starts a replica on its storage and connects it with the others.
 *
 * @param options - Storage, state, times, who hears of its lead.
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
  let toldRole = "";
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
    onRoleChange: takeRoleChange,
    onFatal: options.onFatal,
    log,
    metrics,
    now,
    quietSinceMs: options.quietSinceMs,
    getWokeMs: options.getWokeMs,
    random: Math.random,
  });

  function takeRoleChange(state: QuorumState): void {
    const { role, term, leaderId } = state;
    const told = `${role} ${term} ${leaderId}`;
    if (told !== toldRole) log("roleChanged", { role, term, leaderId });
    toldRole = told;
    const wasLeading = isLeading;
    isLeading = role === "leader";
    if (isLeading && !wasLeading) options.onLead();
    if (!isLeading && wasLeading) options.onLeadLost();
  }

  return { replica, transport };
}
