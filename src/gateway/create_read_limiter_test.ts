import { Buffer } from "node:buffer";
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import {
  createReadLimiter,
  type CreateReadLimiterOptions,
  type ReadLimiter,
} from "./create_read_limiter.ts";
import { getExceededLimit } from "./gateway_error.ts";

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
  socket.on("error", () => {});
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

/** Reads a connection as the HTTP library does: all that has arrived, until null. */
function collect(socket: Socket, onChunk: (chunk: Buffer) => void): void {
  socket.on("readable", () => {
    for (let chunk; (chunk = socket.read()) !== null;) onChunk(chunk);
  });
}

/** Sends pieces one by one, each of which is read by itself. */
async function sendPieces(
  { socket, peer }: Connection,
  pieces: readonly Buffer[],
): Promise<void> {
  for (const piece of pieces) {
    if (socket.destroyed) return;
    const allBytes = socket.bytesRead + piece.length;
    peer.write(piece);
    while (!socket.destroyed && socket.bytesRead < allBytes) await nextTurn();
  }
}

/** Resolves with the limit for which a connection was destroyed. */
async function getLimit({ socket }: Connection): Promise<unknown> {
  const [error] = await once(socket, "error");
  await until("the connection is closed", () => socket.closed);
  return getExceededLimit(error);
}

test("a connection that exceeds the bytes without progress is destroyed", async () => {
  await using connection = await openConnection(createLimiter());
  let bytes = 0;
  collect(connection.socket, (chunk) => {
    bytes += chunk.length;
  });
  connection.peer.write(Buffer.alloc(50_000));
  assert.is(await getLimit(connection), "withoutProgressBytes");
  assert.ok(bytes <= LIMITS.withoutProgressBytes);
});

test("a connection that exceeds the small reads without progress is destroyed", async () => {
  await using connection = await openConnection(createLimiter());
  collect(connection.socket, () => {});
  const exceeding = getLimit(connection);
  await sendPieces(connection, Array(20).fill(Buffer.from("x")));
  assert.is(await exceeding, "withoutProgressReads");
});

test("progress allows for more bytes and more reads", async () => {
  const limiter = createLimiter();
  await using connection = await openConnection(limiter);
  let bytes = 0;
  collect(connection.socket, (chunk) => {
    bytes += chunk.length;
    limiter.getCurrent()?.noteProgress(chunk.length / 4);
  });
  await sendPieces(connection, Array(30).fill(Buffer.alloc(400)));
  connection.peer.write(Buffer.alloc(90_000));
  await until("all is read", () => bytes === 102_000);
  assert.not(connection.socket.destroyed);
});

test("the end of an answer starts the limits anew", async () => {
  const limiter = createLimiter();
  await using connection = await openConnection(limiter);
  let bytes = 0;
  collect(connection.socket, (chunk) => {
    bytes += chunk.length;
    limiter.getCurrent()?.reset();
  });
  connection.peer.write(Buffer.alloc(100_000));
  await until("all is read", () => bytes === 100_000);
  assert.not(connection.socket.destroyed);
});

test("progress of one connection is not that of another", async () => {
  const limiter = createLimiter();
  await using sound = await openConnection(limiter);
  await using faulty = await openConnection(limiter);
  let soundBytes = 0;
  collect(sound.socket, (chunk) => {
    soundBytes += chunk.length;
    limiter.getCurrent()?.noteProgress(chunk.length);
  });
  collect(faulty.socket, () => {});
  faulty.peer.write(Buffer.alloc(8_000));
  await until("it is read", () => faulty.socket.bytesRead === 8_000);
  sound.peer.write(Buffer.alloc(40_000));
  await until("it is read", () => soundBytes === 40_000);
  faulty.peer.write(Buffer.alloc(8_000));
  assert.is(await getLimit(faulty), "withoutProgressBytes");
  assert.not(sound.socket.destroyed);
});

test("bytes that are put back are counted once", async () => {
  const limiter = createLimiter();
  await using connection = await openConnection(limiter);
  const { socket, peer } = connection;
  let bytes = 0;
  socket.on("readable", () => {
    const chunk: Buffer | null = socket.read();
    if (chunk === null) return;
    const taken = Math.min(100, chunk.length);
    bytes += taken;
    if (taken < chunk.length) socket.unshift(chunk.subarray(taken));
    setImmediate(() => socket.emit("readable"));
  });
  peer.write(Buffer.alloc(9_000));
  await until("all is read", () => socket.destroyed || bytes === 9_000);
  assert.not(socket.destroyed);
});

// A long prompt: its events begin only after minutes.
test("a comment each second in three pieces exceeds no limit", async () => {
  let nowMs = 0;
  await using connection = await openConnection(
    createLimiter({ now: () => nowMs }),
  );
  collect(connection.socket, () => {});
  for (let second = 0; second < 100; second++) {
    const pieces = ["10\r\n", ": keep-alive\n\n", "\r\n"];
    await sendPieces(connection, pieces.map((piece) => Buffer.from(piece)));
    nowMs += 1_000;
  }
  assert.not(connection.socket.destroyed);
});

test("an event in pieces of 200 bytes exceeds only the limit of bytes", async () => {
  const limiter = createLimiter({ withoutProgressBytes: 262_144 });
  await using connection = await openConnection(limiter);
  collect(connection.socket, () => {});
  await sendPieces(connection, Array(200).fill(Buffer.alloc(200)));
  assert.not(connection.socket.destroyed);
});

test("bytes that are read one by one out of a large piece are no small pieces", async () => {
  const limiter = createLimiter({ withoutProgressBytes: 100_000 });
  await using connection = await openConnection(limiter);
  collect(connection.socket, () => {});
  await sendPieces(connection, Array(20).fill(Buffer.alloc(4_100)));
  assert.not(connection.socket.destroyed);
});

const SMALL_PIECE = Buffer.alloc(1_000);

/** A limiter whose turns are over as soon as 16 KB have been read in them. */
function createTimedLimiter() {
  let nowMs = 0;
  const limiter = createReadLimiter({
    withoutProgressBytes: Infinity,
    withoutProgressReads: Infinity,
    turnMs: 1,
    now: () => nowMs,
  });
  return {
    limiter,
    pass() {
      nowMs += 1;
    },
  };
}

test("connections that had no time are read in the order in which they came", async () => {
  const { limiter, pass } = createTimedLimiter();
  await using first = await openConnection(limiter);
  await using second = await openConnection(limiter);
  await using third = await openConnection(limiter);
  const order: number[] = [];
  const bytes = [0, 0, 0];
  [first, second, third].forEach(({ socket }, index) =>
    collect(socket, (chunk) => {
      if (order.at(-1) !== index) order.push(index);
      bytes[index] += chunk.length;
      pass();
    })
  );
  for (const { peer } of [first, second, third]) {
    peer.write(Buffer.alloc(60_000));
  }
  await until("all is read", () => bytes.every((one) => one === 60_000));
  for (const index of [0, 1, 2]) assert.ok(order.includes(index));
  assert.ok(order.length > 6, `took turns: ${order}`);
});

test("what arrived before an end is read before it, over several turns", async () => {
  const { limiter, pass } = createTimedLimiter();
  await using connection = await openConnection(limiter);
  const { socket, peer } = connection;
  const sent = Buffer.from("0123456789".repeat(20_000));
  const chunks: Buffer[] = [];
  let lengthAtEnd = 0;
  collect(socket, (chunk) => {
    chunks.push(chunk);
    pass();
  });
  socket.on("end", () => {
    lengthAtEnd = Buffer.concat(chunks).length;
  });
  const ended = once(socket, "end");
  peer.end(sent);
  await ended;
  assert.is(lengthAtEnd, sent.length);
  assert.ok(Buffer.concat(chunks).equals(sent));
});

test("a connection that is reset while it waits for its turn does not hold up others", async () => {
  const { limiter, pass } = createTimedLimiter();
  await using lost = await openConnection(limiter);
  await using sound = await openConnection(limiter);
  let bytes = 0;
  collect(lost.socket, pass);
  collect(sound.socket, (chunk) => {
    bytes += chunk.length;
    pass();
  });
  const closed = new Promise((resolve) => lost.socket.on("close", resolve));
  lost.peer.write(Buffer.alloc(60_000), () => lost.peer.resetAndDestroy());
  sound.peer.write(Buffer.alloc(60_000));
  await closed;
  await until("all is read", () => bytes === 60_000);
  sound.peer.write(SMALL_PIECE);
  await until("it is read", () => bytes === 61_000);
});

test.run();
