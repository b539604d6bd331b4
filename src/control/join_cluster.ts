/**
 * Joins a replica that is no member to its cluster.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { Metadata } from "@grpc/grpc-js";
import type { TlsFilesSettings } from "../settings/index.ts";
import {
  isPassingError,
  type QuorumStorage,
  WRITE_RETRY_MS,
} from "../storage/index.ts";
import { createClientCredentials, isDialable, wire } from "../wire/index.ts";

/** Delay between two rounds of join requests, in ms. */
const JOIN_INTERVAL_MS = 250;

/** Default time limit for one response, in ms. */
const JOIN_TIMEOUT_MS = 2_000;

/**
 * Longest time, in ms, that a round waits for peers that don't respond. Shorter than
 * the limit for a response: a seed may be a machine that is gone.
 */
const ROUND_TIMEOUT_MS = 500;

/** Options of {@link joinCluster}. */
export interface JoinClusterOptions {
  readonly fleetId: string;
  readonly vm: string;
  /** Address at which peers reach this replica. */
  readonly address: string;
  /** Whether it loses its state on a restart; an observer never votes. */
  readonly isObserver?: boolean;
  /** Storage of this replica, which records the cluster's id. */
  readonly storage: QuorumStorage;
  /** Stops the attempts to join. */
  readonly signal: AbortSignal;
  /** Addresses of the other replicas; read again for each round. */
  readonly getPeerAddresses: () => readonly string[];
  /** Time limit for one response, in ms; by default 2 s. */
  readonly responseTimeoutMs?: number;
  /**
   * Called after each round in which no peer has accepted this replica, with the
   * responses by the address of the peer.
   */
  readonly onRejected?: (
    answers: ReadonlyMap<string, wire.JoinResponse>,
  ) => void;
  /** Called when the cluster's id could not be stored and this is tried again. */
  readonly onWriteError?: (error: unknown) => void;
  readonly tls?: TlsFilesSettings;
}

/**
 * Sends join requests to the other replicas until the leader accepts one.
 *
 * @param options - This replica, and the peers to ask.
 * @returns Whether this replica has joined; false if it was aborted.
 * @throws {Error} If the cluster's id can't be stored, other than for a shortage that
 * passes. A peer that does not respond is asked again.
 * @example
 * await joinCluster({ fleetId, vm, address, storage, signal, getPeerAddresses });
 */
export async function joinCluster(
  options: JoinClusterOptions,
): Promise<boolean> {
  const { storage, signal, fleetId, vm, address, tls } = options;
  const { isObserver = false, responseTimeoutMs = JOIN_TIMEOUT_MS } = options;
  const { replicaId, clusterId } = storage.identity;
  const request = { fleetId, clusterId, replicaId, vm, address, isObserver };
  // A peer that is not the leader returns the leader's address, which may not be
  // among the configured peers.
  let leaderAddresses = new Set<string>();
  while (!signal.aborted) {
    const named = [...options.getPeerAddresses(), ...leaderAddresses];
    const peers = new Set(named.filter(isDialable));
    leaderAddresses = new Set();
    const answers = new Map<string, wire.JoinResponse>();
    const accepted = await sendJoinRequests(peers, {
      request,
      responseTimeoutMs,
      tls,
      onAnswer(peer, answer) {
        answers.set(peer, answer);
        leaderAddresses.add(answer.leaderAddress);
      },
    });
    if (accepted) {
      if (await storeClusterId(accepted.clusterId, options)) return true;
      await sleep(WRITE_RETRY_MS, undefined, { signal }).catch(() => {});
      continue;
    }
    options.onRejected?.(answers);
    await sleep(JOIN_INTERVAL_MS, undefined, { signal }).catch(() => {});
  }
  return false;
}

async function storeClusterId(
  clusterId: string,
  options: JoinClusterOptions,
): Promise<boolean> {
  const { storage, onWriteError } = options;
  if (clusterId === storage.identity.clusterId) return true;
  try {
    await storage.setClusterId(clusterId);
    return true;
  } catch (error) {
    if (!isPassingError(error)) throw error;
    onWriteError?.(error);
    return false;
  }
}

interface JoinRequestOptions {
  readonly request: wire.JoinRequest;
  readonly responseTimeoutMs: number;
  readonly tls?: TlsFilesSettings;
}

/**
 * Asks all peers, and resolves with the first response that accepts this replica, or
 * without one once all have responded or the round takes too long.
 */
function sendJoinRequests(
  peers: ReadonlySet<string>,
  options: JoinRequestOptions & {
    readonly onAnswer: (peer: string, answer: wire.JoinResponse) => void;
  },
): Promise<wire.JoinResponse | undefined> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => resolve(undefined), ROUND_TIMEOUT_MS);
    const requests = [...peers].map(async (peer) => {
      const answer = await sendJoinRequest(peer, options);
      if (answer) options.onAnswer(peer, answer);
      if (answer?.accepted) resolve(answer);
    });
    void Promise.all(requests).then(() => {
      clearTimeout(timer);
      resolve(undefined);
    });
  });
}

async function sendJoinRequest(
  address: string,
  options: JoinRequestOptions,
): Promise<wire.JoinResponse | undefined> {
  const credentials = createClientCredentials(options.tls);
  const client = new wire.PeerClient(address, credentials);
  const deadline = Date.now() + options.responseTimeoutMs;
  const answer = await new Promise<wire.JoinResponse | undefined>((resolve) => {
    client.join(
      options.request,
      new Metadata(),
      { deadline },
      (_error, response?: wire.JoinResponse) => resolve(response),
    );
  });
  client.close();
  return answer;
}
