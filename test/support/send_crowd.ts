/**
 * Clients that keep to no limit: each sends without reading what it gets.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

/** Options of {@link openCrowd}. */
export interface OpenCrowdOptions {
  readonly address: string;
  readonly connections: number;
  /** Sent first on each connection. */
  readonly first?: string;
  /** Sent after it again and again, up to a number of bytes. */
  readonly repeated?: string;
  readonly repeatedBytes?: number;
}

/** The connections of a crowd; disposing of it closes them. */
export interface Crowd extends Disposable {
  /** Resolves once all has been sent that the server has taken. */
  readonly sent: Promise<void>;
}

/** Ms without a byte taken after which a connection sends no more. */
const STALLED_MS = 2_000;

/** Connections that are opened at the same time. */
const OPENING = 50;

const BATCH_BYTES = 65_536;

/** Opens the connections, and sends on all of them. */
export function openCrowd(options: OpenCrowdOptions): Crowd {
  const sockets: Socket[] = [];
  return {
    sent: sendAll(options, sockets),
    [Symbol.dispose]: () => sockets.forEach((socket) => socket.destroy()),
  };
}

async function sendAll(
  options: OpenCrowdOptions,
  sockets: Socket[],
): Promise<void> {
  const { connections } = options;
  const sending: Promise<void>[] = [];
  for (let opened = 0; opened < connections; opened += OPENING) {
    const count = Math.min(OPENING, connections - opened);
    const added = Array.from({ length: count }, () => open(options.address));
    sockets.push(...added);
    await Promise.all(added.map(untilOpen));
    sending.push(...added.map((socket) => send(socket, options)));
  }
  await Promise.all(sending);
}

function open(address: string): Socket {
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  socket.on("error", () => {});
  // Answers stay in the buffers of the system.
  return socket.pause();
}

function untilOpen(socket: Socket): Promise<void> {
  return new Promise((resolve) =>
    socket.once("connect", resolve).once("close", () => resolve())
  );
}

async function send(
  socket: Socket,
  { first = "", repeated = "", repeatedBytes = 0 }: OpenCrowdOptions,
): Promise<void> {
  if (first !== "" && !socket.destroyed) socket.write(first);
  if (repeated === "") return;
  const times = Math.ceil(BATCH_BYTES / repeated.length);
  const batch = Buffer.from(repeated.repeat(times));
  for (let sent = 0; sent < repeatedBytes; sent += batch.length) {
    if (socket.destroyed) return;
    if (socket.write(batch)) continue;
    const isTaken = new Promise<boolean>((resolve) =>
      socket.once("drain", () => resolve(true)).once(
        "close",
        () => resolve(false),
      )
    );
    const stalled = sleep(STALLED_MS, false, { ref: false });
    if (!await Promise.race([isTaken, stalled])) return;
  }
}
