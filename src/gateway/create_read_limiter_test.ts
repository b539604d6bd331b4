import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createReadLimiter,
  type CreateReadLimiterOptions,
  type ReadLimiter,
} from "./create_read_limiter.ts";

const LIMITS = { withoutProgressBytes: 10_000, withoutProgressReads: 5 };

/** A connection that a limiter watches, and the peer that sends. */
interface Connection extends AsyncDisposable {
  readonly socket: Socket;
  readonly peer: Socket;
}

async function openConnection(limiter: ReadLimiter): Promise<Connection> {
  const server = createServer();
  const accepted = once(server, "connection") as Promise<[Socket]>;
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  const socket = connect(port, "127.0.0.1");
  await once(socket, "connect");
  limiter.watch(socket);
  const [peer] = await accepted;
  peer.setNoDelay(true);
  peer.on("error", () => {});
  return {
    socket,
    peer,
    async [Symbol.asyncDispose]() {
      socket.destroy();
      peer.destroy();
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function createLimiter(options: Partial<CreateReadLimiterOptions> = {}) {
  return createReadLimiter({ ...LIMITS, ...options });
}

test("bytes that arrive while nobody reads are kept", async () => {
  await using connection = await openConnection(createLimiter());
  const { socket, peer } = connection;
  let isPaused = true;
  const chunks: Buffer[] = [];
  socket.on("readable", () => {
    if (isPaused) return;
    for (let chunk; (chunk = socket.read()) !== null;) chunks.push(chunk);
  });
  const sent = Buffer.from("0123456789".repeat(200));
  for (let at = 0; at < sent.length; at += 500) {
    peer.write(sent.subarray(at, at + 500));
    await sleep(5);
  }
  isPaused = false;
  socket.emit("readable");
  assert.ok(Buffer.concat(chunks).equals(sent));
});

test.run();
