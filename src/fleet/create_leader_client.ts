/**
 * Forwards calls to the control process that is the leader.
 *
 * @module
 */

import { Metadata } from "@grpc/grpc-js";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  wire,
} from "../wire/index.ts";
import type { FleetCall, FleetReply } from "./messages.ts";

/** Forwards calls to the leader. */
export interface LeaderClient extends AsyncDisposable {
  call(address: string, call: FleetCall): Promise<FleetReply>;
}

/** Options of {@link createLeaderClient}. */
export interface CreateLeaderClientOptions {
  /** Deadline of a call, in ms; callers try another process after 1 s. */
  readonly timeoutMs?: number;
}

/** Less than the 1 s after which an upstream or operator tries another process. */
const CALL_TIMEOUT_MS = 900;

/**
 * Creates a client; it keeps a connection to the most recent leader only.
 *
 * @param options - The call timeout.
 * @returns The client; disposing of it closes its connection.
 * @throws Nothing; a failed call resolves to an "unavailable" reply.
 * @example
 * const reply = await caller.call("10.0.0.4:7340", { type: "readConfig" });
 */
export function createLeaderClient(
  options: CreateLeaderClientOptions = {},
): LeaderClient {
  const { timeoutMs = CALL_TIMEOUT_MS } = options;
  let client: wire.FleetClient | undefined;
  let connectedAddress = "";

  function connect(address: string): wire.FleetClient {
    if (client && connectedAddress === address) return client;
    client?.close();
    connectedAddress = address;
    client = new wire.FleetClient(
      address,
      createClientCredentials(),
      CHANNEL_OPTIONS,
    );
    return client;
  }

  function call(address: string, call: FleetCall): Promise<FleetReply> {
    const request = { json: JSON.stringify(call) };
    const deadline = Date.now() + timeoutMs;
    return new Promise((resolve) => {
      connect(address).call(
        request,
        new Metadata(),
        { deadline },
        (error, reply?: wire.FleetReply) => {
          if (reply) resolve(parseReply(reply.json));
          else resolve({ type: "unavailable", reason: String(error?.message) });
        },
      );
    });
  }

  return {
    call,
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      client?.close();
    },
  };
}

// An error in the callback of a call would end the process.
function parseReply(json: string): FleetReply {
  try {
    const reply = JSON.parse(json) as FleetReply | null;
    if (typeof reply?.type === "string") return reply;
  } catch {
    // Told to the caller like a reply of another form.
  }
  return { type: "unavailable", reason: "unreadable reply of the leader" };
}
