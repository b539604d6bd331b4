/**
 * The HTTP server that callers connect to.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import Fastify, { type FastifyInstance } from "fastify";
import {
  createLimitedServer,
  type CreateLimitedServerOptions,
} from "../http/index.ts";
import { DEFAULT_REQUEST_LIMITS } from "../settings/index.ts";
import { toConnectionLimits } from "./to_connection_limits.ts";

/** A request as received. */
export interface ReceivedRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query, unaltered. */
  readonly target: string;
}

/** Options of {@link createCallerServer}. */
export type CreateCallerServerOptions = Partial<
  Pick<CreateLimitedServerOptions, "limits" | "onLimit">
>;

/** A listener that holds connections until a server is ready for them. */
export interface EarlyListener {
  /** Passes on the held connections, and all later ones. */
  take(onConnection: (socket: Socket) => void): void;
  /** Accepts no further connections; those that it has passed on stay open. */
  close(): void;
}

/** Maximum request header size; the platform's callers stay below it. */
const MAX_HEADER_BYTES = 32 * 1024;

/** Idle timeout of connections before there is a configuration. */
const DEFAULT_IDLE_TIMEOUT_MS = 16_000;

const DEFAULT_LIMITS = toConnectionLimits(DEFAULT_REQUEST_LIMITS);

/**
 * Creates the server. Routes come from the configuration, so every request is
 * rewritten to a single path for the router of the library.
 *
 * @param onRequest - Called with each request; its body is unread.
 * @param options - The limits on connections; by default those of the settings' schema.
 * @returns The server, not yet listening.
 * @throws Nothing.
 * @example
 * const server = createCallerServer(handleRequest);
 */
export function createCallerServer(
  onRequest: (received: ReceivedRequest) => void,
  options: CreateCallerServerOptions = {},
): FastifyInstance {
  const { limits = DEFAULT_LIMITS, onLimit } = options;
  const server = Fastify({
    logger: false,
    exposeHeadRoutes: false,
    serverFactory: (handler) =>
      createLimitedServer(handler, {
        limits,
        onLimit,
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        requestTimeout: 0,
      }),
    rewriteUrl: () => "/",
  });
  server.server.on("timeout", closeIdle);
  server.removeAllContentTypeParsers();
  server.addContentTypeParser("*", (_request, _payload, done) => done(null));
  server.all("/", (request, reply) => {
    reply.hijack();
    onRequest({
      message: request.raw,
      response: reply.raw,
      target: request.originalUrl,
    });
  });
  return server as unknown as FastifyInstance;
}

// After a stall of this process timers run first, and a request that has arrived on the
// connection is unread.
function closeIdle(socket: Socket): void {
  const { bytesRead } = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}

/**
 * Starts accepting connections, either those of an early listener or on an address of
 * its own.
 *
 * @param server - The server.
 * @param options - The address, and the early listener if there is one.
 * @returns A promise that resolves once callers are served.
 * @throws {Error} When the address is already in use.
 * @example
 * await listenForCallers(server, { host, port });
 */
export async function listenForCallers(
  server: FastifyInstance,
  options: {
    readonly host: string;
    readonly port: number;
    readonly earlyListener?: EarlyListener;
  },
): Promise<void> {
  const { host, port, earlyListener } = options;
  if (!earlyListener) {
    await server.listen({ host, port });
    return;
  }
  await server.ready();
  earlyListener.take((socket) => {
    server.server.emit("connection", socket);
    socket.resume();
  });
}
