/**
 * The HTTP server that callers connect to.
 *
 * @module
 */

import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import Fastify, { type FastifyInstance } from "fastify";

/** A request as it came. */
export interface ReceivedRequest {
  readonly message: IncomingMessage;
  readonly response: ServerResponse;
  /** Path and query, unaltered. */
  readonly target: string;
}

/** A listener that keeps its connections until somebody takes them. */
export interface EarlyListener {
  /** Gives the connections that wait, and all later ones. */
  take(onConnection: (socket: Socket) => void): void;
}

/** Header that is read; the platform's callers stay within it. */
const MAX_HEADER_BYTES = 32 * 1024;

/** Ms for which an idle connection is kept where no configuration says. */
const DEFAULT_IDLE_MS = 16_000;

/**
 * Makes the server. Routes come from the configuration, so the library's router
 * sees one path only.
 *
 * @param onRequest - Takes each request, its body unread.
 * @returns The server, not yet listening.
 * @throws Nothing.
 * @example
 * const server = createCallerServer(take);
 */
export function createCallerServer(
  onRequest: (received: ReceivedRequest) => void,
): FastifyInstance {
  const server = Fastify({
    logger: false,
    exposeHeadRoutes: false,
    http: { maxHeaderSize: MAX_HEADER_BYTES },
    keepAliveTimeout: DEFAULT_IDLE_MS,
    rewriteUrl: () => "/",
  });
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

/**
 * Begins to take callers: those of a listener that was open before, or on an
 * address of its own.
 *
 * @param server - The server.
 * @param options - The early listener, if there is one, and the address.
 * @returns A promise that resolves once callers are served.
 * @throws {Error} When the address is taken.
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
