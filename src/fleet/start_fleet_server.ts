/**
 * The gRPC server on which the system's own processes reach a control process.
 *
 * @module
 */

import { Server } from "@grpc/grpc-js";
import {
  CHANNEL_OPTIONS,
  createServerCredentials,
  wire,
} from "../wire/index.ts";
import type { FleetReply } from "./messages.ts";
import type { PeerListener } from "./open_peer_listener.ts";

/** Options of {@link startFleetServer}. */
export interface StartFleetServerOptions {
  readonly listener: PeerListener;
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
 * @param options - Its listener and handlers.
 * @returns The server; disposing of it closes all connections, but not the listener.
 * @throws Nothing.
 * @example
 * using server = startFleetServer(options);
 */
export function startFleetServer(
  options: StartFleetServerOptions,
): Disposable {
  const { listener, handleJoin, handleCall } = options;
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
  const injector = server.createConnectionInjector(createServerCredentials());
  listener.setHandler((socket) => injector.injectConnection(socket));
  return {
    [Symbol.dispose]() {
      listener.setHandler(undefined);
      server.forceShutdown();
    },
  };
}
