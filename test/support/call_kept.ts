/**
 * A caller that uses each of its connections until the gateway closes it.
 *
 * @module
 */

import { Agent, type IncomingMessage, request } from "node:http";
import { text } from "node:stream/consumers";

/** How a request ended for its caller. */
export type KeptCallEnd =
  | {
    readonly type: "answered";
    readonly status: number;
    readonly body: string;
  }
  /** No connection was made. */
  | { readonly type: "unconnected" }
  /** The connection ended without the head of an answer, or within the answer. */
  | {
    readonly type: "closed";
    readonly hasHead: boolean;
    /** Whether the connection had carried another request before. */
    readonly isReused: boolean;
  };

/** Options of {@link callKept}. */
export interface CallKeptOptions {
  readonly agent: Agent;
  /** Host and port of the gateway. */
  readonly address: string;
  readonly path: string;
  readonly requestId: string;
  readonly deadlineMs: number;
}

/** Keeps connections for longer than the server's hint says. */
class PersistentAgent extends Agent {
  // Without the timer of the original, only the server closes idle connections.
  override keepSocketAlive(): boolean {
    return true;
  }
}

/**
 * Creates the connections of one caller: one to each gateway.
 *
 * @returns The agent; to be destroyed in the end.
 * @throws Nothing.
 * @example
 * const agent = createPersistentAgent();
 */
export function createPersistentAgent(): Agent {
  return new PersistentAgent({ keepAlive: true, maxSockets: 1 });
}

/**
 * Sends one request with its whole body.
 *
 * @param options - The connections, and the request.
 * @returns How it ended.
 * @throws Nothing.
 * @example
 * const end = await callKept({ agent, address, path: "/safe/1", requestId, deadlineMs });
 */
export function callKept(options: CallKeptOptions): Promise<KeptCallEnd> {
  const { agent, address, path, requestId, deadlineMs } = options;
  const [hostname, port] = address.split(":");
  return new Promise((resolve) => {
    let isConnected = false;
    const sent = request({
      agent,
      hostname,
      port,
      path,
      method: "POST",
      headers: {
        host: "a.example",
        "x-attempt-id": requestId,
        "x-deadline-ms": String(deadlineMs),
        "x-token-usage": "20,20",
        "x-api-key": "key-1",
        "content-length": "5",
      },
    }, readAnswer);

    function endClosed(hasHead: boolean): void {
      resolve(
        isConnected
          ? { type: "closed", hasHead, isReused: sent.reusedSocket }
          : { type: "unconnected" },
      );
    }

    function readAnswer(answer: IncomingMessage): void {
      text(answer).then(
        (body) =>
          resolve({ type: "answered", status: answer.statusCode ?? 0, body }),
        () => endClosed(true),
      );
    }

    sent.on("socket", (socket) => {
      if (!socket.connecting) isConnected = true;
      else socket.once("connect", () => isConnected = true);
    });
    sent.on("error", () => endClosed(false));
    sent.end("hello");
  });
}
