/**
 * Encodes and decodes the messages of a session between a gateway and the leader.
 *
 * With 221 engines and 200 gateways, each with 40 engines in its loads, the list of all
 * engines takes 3.7 KB instead of 42.5 KB of JSON text, the sum of all loads 1.2 KB
 * instead of 9.5 KB, and one gateway's loads 0.2 KB instead of 1.7 KB
 * (session_messages_test.ts). A new leader sends the list to all gateways: as text that
 * is 8.5 MB, which takes 0.7 s on a link of 100 Mbit/s, longer than followers wait for
 * a heartbeat.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { wire } from "../wire/index.ts";
import type { EngineNumbers } from "./create_engine_numbers.ts";
import type {
  FleetActivity,
  GatewayMessage,
  LeaderMessage,
} from "./messages.ts";

/** Minimum length of a message that is compressed; shorter ones gain nothing. */
const MIN_PACKED_CHARS = 400;

/**
 * Encodes a message of the leader. A message to all gateways is encoded once and sent
 * to each.
 *
 * @param message - The message.
 * @param numbers - The leader's engine numbers; engines in the message are assigned one.
 * @returns The encoded message.
 * @throws Nothing.
 * @example
 * stream.write(formatLeaderMessage({ type: "loads", loads }, numbers));
 */
export function formatLeaderMessage(
  message: LeaderMessage,
  numbers: EngineNumbers,
): wire.FleetMessage {
  if (message.type === "loads") {
    return makeMessage({
      json: JSON.stringify(message.activity),
      loads: numbers.formatLoads(message.loads),
    });
  }
  const engineNumbers = message.type === "engines"
    ? message.engines.map(({ engineId }) => numbers.assign(engineId))
    : [];
  return makeMessage({ ...packText(JSON.stringify(message)), engineNumbers });
}

/**
 * Decodes a message of the leader.
 *
 * @param received - The encoded message.
 * @param numbers - The session's engine numbers; those in the message are added.
 * @returns The message.
 * @throws {Error} When it was not encoded by {@link formatLeaderMessage}.
 * @example
 * const message = parseLeaderMessage(received, numbers);
 */
export function parseLeaderMessage(
  received: wire.FleetMessage,
  numbers: EngineNumbers,
): LeaderMessage {
  const text = unpackText(received);
  if (received.loads) {
    const loads = numbers.parseLoads(received.loads);
    return {
      type: "loads",
      loads,
      activity: JSON.parse(text) as FleetActivity,
    };
  }
  const message = JSON.parse(text) as LeaderMessage;
  if (message.type === "engines") {
    message.engines.forEach(({ engineId }, at) =>
      numbers.learn(engineId, received.engineNumbers[at])
    );
  }
  return message;
}

/**
 * Encodes a message of a gateway.
 *
 * @param message - The message.
 * @param numbers - The session's engine numbers.
 * @returns The encoded message.
 * @throws Nothing.
 * @example
 * stream.write(formatGatewayMessage(heartbeat, numbers));
 */
export function formatGatewayMessage(
  message: GatewayMessage,
  numbers: EngineNumbers,
): wire.FleetMessage {
  if (message.type !== "beat" || !message.loads) {
    return makeMessage({ json: JSON.stringify(message) });
  }
  const { loads, ...otherFields } = message;
  return makeMessage({
    json: JSON.stringify(otherFields),
    loads: numbers.formatLoads(loads),
  });
}

/**
 * Decodes a message of a gateway.
 *
 * @param received - The encoded message.
 * @param numbers - The leader's engine numbers.
 * @returns The message.
 * @throws {Error} When it was not encoded by {@link formatGatewayMessage}.
 * @example
 * const message = parseGatewayMessage(received, numbers);
 */
export function parseGatewayMessage(
  received: wire.FleetMessage,
  numbers: EngineNumbers,
): GatewayMessage {
  const message = JSON.parse(received.json) as GatewayMessage;
  if (message.type !== "beat" || !received.loads) return message;
  return { ...message, loads: numbers.parseLoads(received.loads) };
}

function makeMessage(parts: Partial<wire.FleetMessage>): wire.FleetMessage {
  return {
    json: "",
    packed: Buffer.alloc(0),
    engineNumbers: [],
    loads: undefined,
    ...parts,
  };
}

function packText(json: string): Pick<wire.FleetMessage, "json" | "packed"> {
  if (json.length < MIN_PACKED_CHARS) {
    return { json, packed: Buffer.alloc(0) };
  }
  return { json: "", packed: deflateRawSync(Buffer.from(json, "utf8")) };
}

function unpackText({ json, packed }: wire.FleetMessage): string {
  return packed.length > 0 ? inflateRawSync(packed).toString("utf8") : json;
}
