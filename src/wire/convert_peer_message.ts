/**
 * Converts quorum messages to their wire format and back.
 *
 * @module
 */

import type {
  LogEntryKind,
  QuorumMessage,
  QuorumMessageBody,
} from "../quorum/index.ts";
import type { PeerMessage } from "./gen/crowlever.ts";

/**
 * Converts a quorum message to its wire format. Snapshots are sent in chunks and
 * are not converted here.
 *
 * @param message - The message.
 * @param options - The sender's cluster id.
 * @returns The message in wire format.
 * @throws {TypeError} If the message is a snapshot.
 * @example
 * const wire = formatPeerMessage(message, { clusterId: "c1" });
 */
export function formatPeerMessage(
  message: QuorumMessage,
  options: { clusterId: string },
): PeerMessage {
  const { from, to, term, body } = message;
  return { ...options, from, to, term, body: formatBody(body) };
}

function formatBody(body: QuorumMessageBody): PeerMessage["body"] {
  switch (body.type) {
    case "voteRequest":
      return { $case: "voteRequest", value: body };
    case "voteResponse":
      return { $case: "voteResponse", value: body };
    case "appendRequest":
      return {
        $case: "appendRequest",
        value: { ...body, entries: [...body.entries] },
      };
    case "appendResponse":
      return { $case: "appendResponse", value: body };
    case "timeoutNow":
      return { $case: "timeoutNow", value: {} };
    case "snapshot":
      throw new TypeError("Snapshots must be sent as chunks");
  }
}

/**
 * Converts a message in wire format to a quorum message.
 *
 * @param wire - The message in wire format.
 * @returns The quorum message, or undefined for a chunk of a snapshot.
 * @throws Nothing.
 * @example
 * const message = parsePeerMessage(wire);
 */
export function parsePeerMessage(
  wire: PeerMessage,
): QuorumMessage | undefined {
  const { from, to, term } = wire;
  const body = parseBody(wire.body);
  return body && { from, to, term, body };
}

function parseBody(body: PeerMessage["body"]): QuorumMessageBody | undefined {
  switch (body?.$case) {
    case "voteRequest":
      return { type: "voteRequest", ...body.value };
    case "voteResponse":
      return { type: "voteResponse", ...body.value };
    case "appendRequest": {
      const entries = body.value.entries.map((entry) => ({
        ...entry,
        kind: entry.kind as LogEntryKind,
      }));
      return { type: "appendRequest", ...body.value, entries };
    }
    case "appendResponse":
      return { type: "appendResponse", ...body.value };
    case "timeoutNow":
      return { type: "timeoutNow" };
    default:
      return undefined;
  }
}
