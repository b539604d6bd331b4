/**
 * How a replica with a new data folder becomes a learner.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { Metadata } from "@grpc/grpc-js";
import type { TlsFilesSettings } from "../settings/index.ts";
import type { QuorumStorage } from "../storage/index.ts";
import { createClientCredentials, wire } from "../wire/index.ts";

/** Ms between two rounds of asking. */
const JOIN_INTERVAL_MS = 250;

/** Ms for one answer. */
const JOIN_TIMEOUT_MS = 2_000;

/** Who asks, and whom. */
export interface JoinClusterOptions {
  readonly fleetId: string;
  readonly vm: string;
  /** Where this replica is reached. */
  readonly address: string;
  /** Whether it keeps nothing over a restart; it then never votes. */
  readonly isObserver?: boolean;
  /** Its identity gets the cluster's id. */
  readonly storage: QuorumStorage;
  /** Ends the asking. */
  readonly signal: AbortSignal;
  /** The others' addresses; read anew for each round. */
  readonly getPeerAddresses: () => readonly string[];
  readonly tls?: TlsFilesSettings;
}

/**
 * Asks the other replicas, until one leads, to take this one in.
 *
 * @param options - Who asks, and whom.
 * @returns Whether it was taken in.
 * @throws Nothing; a VM that does not answer is asked again.
 * @example
 * await joinCluster({ fleetId, vm, address, storage, signal, getPeerAddresses });
 */
export async function joinCluster(
  options: JoinClusterOptions,
): Promise<boolean> {
  const { storage, signal, fleetId, vm, address, tls } = options;
  const { isObserver = false } = options;
  const { replicaId, clusterId } = storage.identity;
  const request = { fleetId, clusterId, replicaId, vm, address, isObserver };
  // Whoever does not lead names the leader, which may be in no one's list.
  let leaders: readonly string[] = [];
  while (!signal.aborted) {
    const peers = new Set([...options.getPeerAddresses(), ...leaders]);
    peers.delete("");
    const answers = await Promise.all(
      [...peers].map((peer) => ask(peer, { request, tls })),
    );
    leaders = answers.map((answer) => answer?.leaderAddress ?? "");
    const accepted = answers.find((answer) => answer?.accepted);
    if (accepted) {
      await storage.setClusterId(accepted.clusterId);
      return true;
    }
    await sleep(JOIN_INTERVAL_MS, undefined, { signal }).catch(() => {});
  }
  return false;
}

async function ask(
  address: string,
  options: { request: wire.JoinRequest; tls?: TlsFilesSettings },
): Promise<wire.JoinResponse | undefined> {
  const credentials = createClientCredentials(options.tls);
  const client = new wire.PeerClient(address, credentials);
  const deadline = Date.now() + JOIN_TIMEOUT_MS;
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
