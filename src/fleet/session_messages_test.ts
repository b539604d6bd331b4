import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EngineRecord } from "../engines/index.ts";
import { wire } from "../wire/index.ts";
import { createEngineNumbers } from "./create_engine_numbers.ts";
import type { EngineLoads, GatewayMessage, LeaderMessage } from "./messages.ts";
import {
  formatGatewayMessage,
  formatLeaderMessage,
  parseGatewayMessage,
  parseLeaderMessage,
} from "./session_messages.ts";
import { sumLoads } from "./sum_loads.ts";

const ENGINES = 221;
const GATEWAYS = 200;

/** Engines over which one gateway's streams run. */
const ENGINES_OF_GATEWAY = 40;

/** Deterministic pseudo-random numbers. */
function getPseudoRandom(seed: number): number {
  return Math.imul(seed + 1, 2_654_435_761) >>> 0;
}

const engines: readonly EngineRecord[] = Array.from(
  { length: ENGINES },
  (_, at) => ({
    engineId: `i-${getPseudoRandom(at).toString(16).padStart(8, "0")}`,
    service: "model",
    address: `10.128.${at % 7}.${getPseudoRandom(at) % 250}:8080`,
    place: `place-${at % 5}`,
    slots: 134,
    isLeaving: false,
    models: ["m0"],
    layers: { fromLayer: at % 40, toLayer: at % 40 + 9 },
    card: `card-${at % 4}`,
  }),
);

function makeLoads(gateway: number): EngineLoads {
  const ids = Array.from(
    { length: ENGINES_OF_GATEWAY },
    (_, at) => engines[(gateway * 7 + at * 5) % ENGINES].engineId,
  );
  return Object.fromEntries(
    ids.map((engineId, at) => [
      engineId,
      {
        tokens: 900 + getPseudoRandom(gateway + at) % 3_000,
        requests: at % 10 === 0 ? 2 : 0,
      },
    ]),
  );
}

function sendOverWire(message: wire.FleetMessage): wire.FleetMessage {
  return wire.FleetMessage.decode(wire.FleetMessage.encode(message).finish());
}

function getEncodedBytes(message: wire.FleetMessage): number {
  return wire.FleetMessage.encode(message).finish().length;
}

function startSession() {
  const leader = createEngineNumbers();
  const gateway = createEngineNumbers();
  const list: LeaderMessage = {
    type: "engines",
    isWhole: true,
    engines,
    gone: [],
  };
  const encoded = formatLeaderMessage(list, leader);
  const decoded = parseLeaderMessage(sendOverWire(encoded), gateway);
  return { leader, gateway, list, encoded, decoded };
}

test("encoding and decoding a message gives the same message", () => {
  const { leader, gateway, list, decoded } = startSession();
  assert.equal(decoded, list);
  const sum: LeaderMessage = {
    type: "loads",
    loads: makeLoads(3),
    activity: { model: { askedPerS: 240, endedPerS: 238.5, waiting: 2 } },
  };
  const encodedSum = sendOverWire(formatLeaderMessage(sum, leader));
  assert.equal(parseLeaderMessage(encodedSum, gateway), sum);
  const heartbeat: GatewayMessage = {
    type: "beat",
    sentMs: 12.5,
    isReady: true,
    suspects: ["e"],
    slowEngines: ["e"],
    loads: makeLoads(4),
  };
  const encodedHeartbeat = sendOverWire(
    formatGatewayMessage(heartbeat, gateway),
  );
  assert.equal(parseGatewayMessage(encodedHeartbeat, leader), heartbeat);
  const { loads: _loads, ...withoutLoads } = heartbeat;
  const encodedWithoutLoads = sendOverWire(
    formatGatewayMessage(withoutLoads, gateway),
  );
  assert.equal(parseGatewayMessage(encodedWithoutLoads, leader), withoutLoads);
  const ack: LeaderMessage = { type: "beatAck", sentMs: 12.5, version: 7 };
  const encodedAck = sendOverWire(formatLeaderMessage(ack, leader));
  assert.equal(parseLeaderMessage(encodedAck, gateway), ack);
});

test("empty loads are sent too", () => {
  const { leader, gateway } = startSession();
  const none: LeaderMessage = { type: "loads", loads: {}, activity: {} };
  const encoded = sendOverWire(formatLeaderMessage(none, leader));
  assert.equal(parseLeaderMessage(encoded, gateway), none);
});

test("an engine that the leader has not numbered is left out", () => {
  const { gateway } = startSession();
  const loads = { stranger: { tokens: 5, requests: 1 } };
  assert.equal(gateway.formatLoads(loads).engineNumbers, []);
});

test("the encoded list of 221 engines takes less than a tenth of its 42 KB of JSON", () => {
  const { list, encoded } = startSession();
  const textBytes = JSON.stringify(list).length;
  assert.ok(
    getEncodedBytes(encoded) < textBytes / 10,
    `${getEncodedBytes(encoded)} of ${textBytes}`,
  );
});

test("the encoded loads of 200 gateways take less than a seventh of their JSON", () => {
  const { leader, gateway } = startSession();
  const all = Array.from({ length: GATEWAYS }, (_, at) => makeLoads(at));
  const sum = sumLoads(all);
  const sumBytes = getEncodedBytes(
    formatLeaderMessage({ type: "loads", loads: sum, activity: {} }, leader),
  );
  const sumTextBytes = JSON.stringify({ type: "loads", loads: sum }).length;
  assert.ok(sumBytes < sumTextBytes / 7, `${sumBytes} of ${sumTextBytes}`);
  const [own] = all;
  const ownBytes =
    wire.EngineLoads.encode(gateway.formatLoads(own)).finish().length;
  const ownTextBytes = JSON.stringify(own).length;
  assert.ok(ownBytes < ownTextBytes / 8, `${ownBytes} of ${ownTextBytes}`);
});

test.run();
