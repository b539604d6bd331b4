/**
 * How a replica with a new data folder becomes a learner.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { Metadata } from "@grpc/grpc-js";
import type { ControlSettings } from "../settings/index.ts";
import type { QuorumStorage } from "../storage/index.ts";
import { createClientCredentials, wire } from "../wire/index.ts";

/** Ms between two rounds of asking. */
const JOIN_INTERVAL_MS = 250;

/** Ms for one answer. */
const JOIN_TIMEOUT_MS = 2_000;

/**
 * Asks the other control VMs, until one leads, to take this replica in.
 *
 * @param settings - The program's settings.
 * @param options - The storage, whose identity gets the cluster's id, and a
 * signal that ends the asking.
 * @returns Whether it was taken in.
 * @throws Nothing; a VM that does not answer is asked again.
 * @example
 * await joinCluster(settings, { storage, signal, address: "127.0.0.1:1" });
 */
export async function joinCluster(
  settings: ControlSettings,
  options: { storage: QuorumStorage; signal: AbortSignal; address: string },
): Promise<boolean> {
  const { storage, signal, address } = options;
  const { fleetId, vm } = settings;
  const { replicaId, clusterId } = storage.identity;
  const request = { fleetId, clusterId, replicaId, vm, address };
  const others = settings.controlVms.filter((other) => other.vm !== vm);
  while (!signal.aborted) {
    for (const { peerAddress } of others) {
      const answer = await ask(peerAddress, { request, settings });
      if (!answer?.accepted) continue;
      await storage.setClusterId(answer.clusterId);
      return true;
    }
    await sleep(JOIN_INTERVAL_MS, undefined, { signal }).catch(() => {});
  }
  return false;
}

async function ask(
  address: string,
  options: { request: wire.JoinRequest; settings: ControlSettings },
): Promise<wire.JoinResponse | undefined> {
  const credentials = createClientCredentials(options.settings.peerTls);
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
