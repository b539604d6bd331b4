/**
 * Limits what the clients of an HTTP server may make it hold.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import {
  createServer,
  type IncomingMessage,
  type RequestListener,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import {
  createServer as createTlsServer,
  type ServerOptions as TlsServerOptions,
} from "node:https";
import type { Socket } from "node:net";

/** Limits on the connections of a server. */
export interface ConnectionLimits {
  /**
   * Connections that are open at the same time. Beyond them the one that has been idle
   * the longest is closed for a new one.
   */
  readonly connections: number;
  /** Requests of one connection that have no complete answer; more close it. */
  readonly requestsPerConnection: number;
  /**
   * Bytes of heads and trailers that have not ended, on all connections. Beyond them the
   * connection is closed whose head or trailers began first.
   */
  readonly headBytes: number;
}

/** Options of {@link createLimitedServer}. */
export interface CreateLimitedServerOptions extends ServerOptions {
  readonly limits: ConnectionLimits;
  /** Called when a connection is closed for a limit. */
  readonly onLimit?: () => void;
  /** Keys and certificates; without them connections are not encrypted. */
  readonly tls?: TlsServerOptions;
}

/** What a server knows of a connection. */
interface Connection {
  readonly socket: Socket;
  /** Requests that have no complete answer. */
  requests: number;
  /** Bytes of a head, or of trailers, that has not ended. */
  headBytes: number;
  /** Whether a request or a part of a body has been parsed. */
  hasProgress: boolean;
}

/** Limits of a server with many clients that has no limits of its own. */
export const MANY_CLIENTS_LIMITS: ConnectionLimits = {
  connections: 2_000,
  requestsPerConnection: 4,
  headBytes: 8_388_608,
};

/** Limits of a server whose clients are few. */
export const FEW_CLIENTS_LIMITS: ConnectionLimits = {
  connections: 100,
  requestsPerConnection: 4,
  headBytes: 1_048_576,
};

/**
 * Bytes that are parsed at once: the number of requests on a connection is known only
 * after all of them are parsed.
 */
const SLICE_BYTES = 4_096;

/** Status of requests with an expectation that the server does not know. */
const EXPECTATION_FAILED = 417;

/**
 * Creates an HTTP server that limits its connections. The library parses all requests
 * that have arrived on a connection, however many answers are still due, and keeps the
 * heads and trailers of all connections until they end.
 *
 * @param onRequest - Called with each request within the limits.
 * @param options - The limits, and the options of the library's server.
 * @returns The server, not yet listening.
 * @throws Nothing.
 * @example
 * const server = createLimitedServer(onRequest, { limits });
 */
export function createLimitedServer(
  onRequest: RequestListener,
  options: CreateLimitedServerOptions,
): Server {
  const { limits, tls, onLimit = () => {}, ...serverOptions } = options;
  const connections = new Map<Socket, Connection>();
  // Both have the oldest first.
  const idle = new Set<Connection>();
  const unfinished = new Set<Connection>();
  let headBytes = 0;
  const server = tls
    ? createTlsServer({ ...serverOptions, ...tls }, guard(onRequest))
    : createServer(serverOptions, guard(onRequest));
  server.on("checkExpectation", guard(refuseExpectation));
  server.on(tls ? "secureConnection" : "connection", admit);

  function admit(socket: Socket): void {
    if (connections.size >= limits.connections) {
      const [oldest] = idle;
      if (!oldest) {
        onLimit();
        return void socket.destroy();
      }
      close(oldest);
    }
    const connection = {
      socket,
      requests: 0,
      headBytes: 0,
      hasProgress: false,
    };
    connections.set(socket, connection);
    idle.add(connection);
    socket.once("close", () => remove(connection));
    parseInSlices(socket, (parse, slice) => {
      connection.hasProgress = false;
      parse(slice);
      noteParsed(connection, slice.length);
    });
  }

  function remove(connection: Connection): void {
    connections.delete(connection.socket);
    idle.delete(connection);
    noteHeadEnd(connection);
  }

  function close(connection: Connection): void {
    onLimit();
    remove(connection);
    connection.socket.destroy();
  }

  function noteHeadEnd(connection: Connection): void {
    headBytes -= connection.headBytes;
    connection.headBytes = 0;
    unfinished.delete(connection);
  }

  function noteParsed(connection: Connection, bytes: number): void {
    if (!connections.has(connection.socket)) return;
    if (connection.hasProgress) return noteHeadEnd(connection);
    connection.headBytes += bytes;
    headBytes += bytes;
    unfinished.add(connection);
    const [oldest] = unfinished;
    if (headBytes > limits.headBytes) close(oldest);
  }

  function guard(listener: RequestListener): RequestListener {
    return (message, response) => {
      const connection = connections.get(message.socket);
      // Requests that arrived together are parsed even if the connection was closed.
      if (!connection) return;
      connection.requests += 1;
      if (connection.requests > limits.requestsPerConnection) {
        return close(connection);
      }
      idle.delete(connection);
      connection.hasProgress = true;
      watchBody(message, () => connection.hasProgress = true);
      response.once("close", () => {
        connection.requests -= 1;
        const isOpen = connections.has(connection.socket);
        if (isOpen && connection.requests === 0) idle.add(connection);
      });
      listener(message, response);
    };
  }

  return server;
}

function refuseExpectation(
  _message: IncomingMessage,
  response: ServerResponse,
): void {
  response.writeHead(EXPECTATION_FAILED).end();
}

// Listening for the data would start to read the body.
function watchBody(message: IncomingMessage, onPart: () => void): void {
  const push = message.push.bind(message);
  message.push = (...part) => {
    onPart();
    return push(...part);
  };
}

// The library's own listener for data is called with slices. It pauses and resumes the
// connection, which does not stop a reader of slices by itself.
function parseInSlices(
  socket: Socket,
  onSlice: (parse: (slice: Buffer) => void, slice: Buffer) => void,
): void {
  const [parse] = socket.listeners("data") as ((slice: Buffer) => void)[];
  let isPaused = false;
  let isParsing = false;
  socket.off("data", parse);

  function readOn(): void {
    if (isParsing) return;
    isParsing = true;
    while (!isPaused && !socket.destroyed) {
      const bytes = Math.min(socket.readableLength, SLICE_BYTES);
      const slice: Buffer | null = socket.read(bytes === 0 ? undefined : bytes);
      if (slice === null) break;
      onSlice(parse, slice);
    }
    isParsing = false;
  }

  socket.pause = () => {
    isPaused = true;
    return socket;
  };
  socket.resume = () => {
    if (isPaused) queueMicrotask(readOn);
    isPaused = false;
    return socket;
  };
  socket.on("readable", readOn);
}
