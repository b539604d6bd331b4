/**
 * Passes calls on to the control process that leads.
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

/** Calls the leader. */
export interface LeaderCaller extends AsyncDisposable {
  call(address: string, call: FleetCall): Promise<FleetReply>;
}

/** Options of {@link createLeaderCaller}. */
export interface CreateLeaderCallerOptions {
  /** Ms for an answer; callers ask another process after a second. */
  readonly timeoutMs?: number;
}

/** Below the second after which an upstream or operator asks elsewhere. */
const CALL_TIMEOUT_MS = 900;

/**
 * Makes a caller; it keeps the connection to the newest leader only.
 *
 * @param options - The time limit.
 * @returns The caller; disposing of it closes its connection.
 * @throws Nothing; a call that fails is answered as unavailable.
 * @example
 * const reply = await caller.call("10.0.0.4:7340", { type: "readConfig" });
 */
export function createLeaderCaller(
  options: CreateLeaderCallerOptions = {},
): LeaderCaller {
  const { timeoutMs = CALL_TIMEOUT_MS } = options;
  let client: wire.FleetClient | undefined;
  let connectedTo = "";

  function connect(address: string): wire.FleetClient {
    if (client && connectedTo === address) return client;
    client?.close();
    connectedTo = address;
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
          if (reply) resolve(JSON.parse(reply.json) as FleetReply);
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
