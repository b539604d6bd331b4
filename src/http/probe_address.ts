/**
 * Asks an address whether its upstream is running.
 *
 * @module
 */

import { connect } from "node:net";

/** Whether an upstream's process is running. */
export type UpstreamLiveness =
  /** Its machine refuses connections: nothing listens on the port any more. */
  | "ended"
  /** Something accepts connections. */
  | "listening"
  /** No answer in time; a network partition looks the same. */
  | "unknown";

/** Opens a connection and reports the result. */
export type ProbeAddress = (
  address: string,
  options: { readonly timeoutMs: number },
) => Promise<UpstreamLiveness>;

const MAX_PORT = 65_535;

/**
 * Opens a new connection: the reset of a pooled one proves nothing.
 *
 * @param address - Host and port.
 * @param options - The time, in ms, for an answer.
 * @returns Whether the address accepts connections.
 * @throws Nothing.
 * @example
 * const liveness = await probeAddress("10.0.0.1:80", { timeoutMs: 200 });
 */
export const probeAddress: ProbeAddress = (address, { timeoutMs }) =>
  new Promise((resolve) => {
    const portAt = address.lastIndexOf(":");
    const host = address.slice(0, portAt).replace(/^\[|\]$/g, "");
    const port = Number(address.slice(portAt + 1));
    // The runtime throws for a port that is none.
    if (!(port > 0 && port <= MAX_PORT)) return resolve("unknown");
    const socket = connect({ host, port });
    // After a stall of this process timers run first, and the answer is unread.
    const timer = setTimeout(
      () => setImmediate(() => finish("unknown")),
      timeoutMs,
    );

    function finish(liveness: UpstreamLiveness): void {
      clearTimeout(timer);
      socket.destroy();
      resolve(liveness);
    }

    socket.once("connect", () => finish("listening"));
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) =>
        finish(error.code === "ECONNREFUSED" ? "ended" : "unknown"),
    );
  });
