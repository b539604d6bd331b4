/**
 * Thread of engines that beat, whatever the thread of the test does.
 *
 * @module
 */

import { parentPort, workerData } from "node:worker_threads";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  wire,
} from "../../src/wire/index.ts";
import { makeBeat } from "./make_beat.ts";

/** What the thread is given. */
export interface BeatEnginesData {
  /** Control processes; the one that leads takes the beats. */
  readonly addresses: readonly string[];
  readonly engines: number;
  readonly intervalMs: number;
}

const { addresses, engines, intervalMs } = workerData as BeatEnginesData;
const clients = addresses.map((address) =>
  new wire.FleetClient(address, createClientCredentials(), CHANNEL_OPTIONS)
);
let sequence = 0;

function beat(): void {
  sequence += 1;
  for (let at = 0; at < engines; at++) {
    const engineId = `e${at}`;
    const address = `10.1.0.${at}:80`;
    const call = {
      type: "beat",
      beat: makeBeat({ engineId, service: "model", address, sequence }),
    };
    // Who doesn't lead, or has stopped, takes none.
    for (const client of clients) {
      client.call({ json: JSON.stringify(call) }, () => {});
    }
  }
}

const timer = setInterval(beat, intervalMs);
beat();
parentPort?.once("message", () => {
  clearInterval(timer);
  clients.forEach((client) => client.close());
});
