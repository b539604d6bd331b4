/**
 * Remembers which connections to an upstream carried a failed answer to a request.
 *
 * @module
 */

import type { Socket } from "node:net";

/** Requests whose answers were failures, by the connections that carried these. */
export interface FailedRequests {
  /** Records a failed answer on a connection, until that closes. */
  note(socket: Socket, requestId: string): void;
  /** The open connections that carried a failed answer to a request. */
  listConnections(requestId: string): readonly Socket[];
  /** Whether a connection has carried as many failed answers as are remembered. */
  isFull(socket: Socket): boolean;
}

/** Options of {@link createFailedRequests}. */
export interface CreateFailedRequestsOptions {
  /** Requests that are remembered for one connection. */
  readonly maxRequests?: number;
}

/** Default of {@link CreateFailedRequestsOptions.maxRequests}: a few kB of ids. */
const MAX_REQUESTS = 100;

/**
 * Creates an empty record. A request that failed may be sent again, and a surplus copy of
 * its failed answer, which has the same id, would be taken for the answer to the second
 * send. Copies arrive on the connection of the answer only.
 *
 * @param options - The number of requests to remember.
 * @returns The record.
 * @throws Nothing.
 * @example
 * const failedRequests = createFailedRequests();
 */
export function createFailedRequests(
  options: CreateFailedRequestsOptions = {},
): FailedRequests {
  const { maxRequests = MAX_REQUESTS } = options;
  const idsByConnection = new Map<Socket, Set<string>>();
  const connectionsById = new Map<string, Set<Socket>>();

  function forget(socket: Socket): void {
    for (const requestId of idsByConnection.get(socket) ?? []) {
      const connections = connectionsById.get(requestId);
      connections?.delete(socket);
      if (connections?.size === 0) connectionsById.delete(requestId);
    }
    idsByConnection.delete(socket);
  }

  function getIds(socket: Socket): Set<string> {
    const known = idsByConnection.get(socket);
    if (known) return known;
    const ids = new Set<string>();
    idsByConnection.set(socket, ids);
    socket.once("close", () => forget(socket));
    return ids;
  }

  return {
    note(socket, requestId) {
      getIds(socket).add(requestId);
      const connections = connectionsById.get(requestId) ?? new Set();
      connectionsById.set(requestId, connections.add(socket));
    },
    listConnections: (requestId) => [
      ...connectionsById.get(requestId) ?? [],
    ],
    isFull: (socket) => (idsByConnection.get(socket)?.size ?? 0) >= maxRequests,
  };
}
