/**
 * The gRPC server on which the system's own processes reach a control process.
 *
 * @module
 */

import { Server } from "@grpc/grpc-js";
import { bindGrpc, CHANNEL_OPTIONS, wire } from "../wire/index.ts";
import type { FleetReply } from "./messages.ts";

/** Options of {@link startFleetServer}. */
export interface StartFleetServerOptions {
  /** Host and port. */
  readonly address: string;
  readonly handleDeliver: wire.PeerServer["deliver"];
  readonly handleSession: wire.FleetServer["session"];
  readonly handleJoin: (
    request: wire.JoinRequest,
  ) => Promise<wire.JoinResponse>;
  /** Handles a call, given as JSON text. */
  readonly handleCall: (json: string) => Promise<FleetReply>;
}

/**
 * Starts the server.
 *
 * @param options - Its address and handlers.
 * @returns The server; `forceShutdown` ends it.
 * @throws {Error} When the address is taken.
 * @example
 * const server = await startFleetServer(options);
 */
export async function startFleetServer(
  options: StartFleetServerOptions,
): Promise<Server> {
  const { address, handleJoin, handleCall } = options;
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(
    wire.PeerService,
    {
      deliver: options.handleDeliver,
      join: (call, done) => {
        void handleJoin(call.request).then((answer) => done(null, answer));
      },
    } satisfies wire.PeerServer,
  );
  server.addService(
    wire.FleetService,
    {
      session: options.handleSession,
      call: (call, done) => {
        void handleCall(call.request.json)
          .then((reply) => done(null, { json: JSON.stringify(reply) }));
      },
    } satisfies wire.FleetServer,
  );
  await bindGrpc(server, { address });
  return server;
}
