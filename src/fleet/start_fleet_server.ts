/**
 * The gRPC server on which the system's own processes reach a control process.
 *
 * @module
 */

import { Server } from "@grpc/grpc-js";
import type { Logger } from "../logs/index.ts";
import {
  answerCall,
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
  readonly log: Logger;
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
  const { listener, handleJoin, handleCall, log } = options;
  const server = new Server(CHANNEL_OPTIONS);

  async function answerJson(json: string): Promise<wire.FleetReply> {
    return { json: JSON.stringify(await handleCall(json)) };
  }

  server.addService(
    wire.PeerService,
    {
      deliver: options.handleDeliver,
      join: (call, done) => {
        void answerCall(handleJoin(call.request), {
          done,
          onFailed: (error) => log("rpcFailed", { rpc: "join", error }),
        });
      },
    } satisfies wire.PeerServer,
  );
  server.addService(
    wire.FleetService,
    {
      session: options.handleSession,
      call: (call, done) => {
        void answerCall(answerJson(call.request.json), {
          done,
          onFailed: (error) => log("rpcFailed", { rpc: "call", error }),
        });
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
