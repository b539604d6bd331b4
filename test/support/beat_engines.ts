/**
 * Worker thread that sends the heartbeats of engines, so that a blocked test thread
 * does not delay them.
 *
 * @module
 */

import { parentPort, workerData } from "node:worker_threads";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  wire,
} from "../../src/wire/index.ts";
import { makeHeartbeat } from "./make_beat.ts";

/** Data that the worker thread gets from the test. */
export interface HeartbeatThreadData {
  /** Control processes; the leader accepts the heartbeats. */
  readonly addresses: readonly string[];
  readonly engines: number;
  readonly intervalMs: number;
}

const { addresses, engines, intervalMs } = workerData as HeartbeatThreadData;
const clients = addresses.map((address) =>
  new wire.FleetClient(address, createClientCredentials(), CHANNEL_OPTIONS)
);
let sequence = 0;

function sendHeartbeats(): void {
  sequence += 1;
  for (let at = 0; at < engines; at++) {
    const engineId = `e${at}`;
    const address = `10.1.0.${at}:80`;
    const call = {
      type: "beat",
      beat: makeHeartbeat({ engineId, service: "model", address, sequence }),
    };
    // Sent to all; control processes that don't lead or have stopped reject it.
    for (const client of clients) {
      client.call({ json: JSON.stringify(call) }, () => {});
    }
  }
}

const timer = setInterval(sendHeartbeats, intervalMs);
sendHeartbeats();
parentPort?.once("message", () => {
  clearInterval(timer);
  clients.forEach((client) => client.close());
});
