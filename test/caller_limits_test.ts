/**
 * Guards against callers that hold connections and memory of a gateway without an end:
 * by a head or a body that never ends, or by an answer that they don't read.
 */

import { Buffer } from "node:buffer";
import { connect, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startOneGateway } from "./support/start_one_gateway.ts";

/** Time after which a connection counts as never closed. */
const GIVE_UP_MS = 8_000;

const MEGABYTE = 1024 * 1024;

interface Caller {
  readonly socket: Socket;
  /** All that the gateway has sent. */
  getReceived(): string;
  /** Resolves to whether the gateway closed the connection. */
  readonly closed: Promise<boolean>;
}

/** Connects to a gateway without a configuration, which refuses whole requests. */
async function withCaller(
  play: (caller: Caller) => Promise<void>,
): Promise<void> {
  await using started = await startOneGateway([]);
  const [address] = started.gateway.listAddresses("p1");
  const [host, port] = address.split(":");
  const socket = connect(Number(port), host);
  let received = "";
  socket.on("data", (data) => received += data);
  socket.on("error", () => {});
  const isClosed = new Promise<boolean>((resolve) => {
    socket.on("close", () => resolve(true));
  });
  const gaveUp = sleep(GIVE_UP_MS, false, { ref: false });
  try {
    await play({
      socket,
      getReceived: () => received,
      closed: Promise.race([isClosed, gaveUp]),
    });
  } finally {
    socket.destroy();
  }
}

async function connected({ socket }: Caller) {
  while (socket.connecting) await sleep(1);
  const { remotePort = 0, remoteAddress = "" } = socket;
  return { remotePort, remoteAddress };
}

async function untilReceived(caller: Caller, text: string): Promise<void> {
  for (let ms = 0; ms < GIVE_UP_MS; ms += 10) {
    if (caller.getReceived().includes(text)) return;
    await sleep(10);
  }
  assert.unreachable(`received only: ${caller.getReceived().slice(0, 200)}`);
}

function formatHead(fields: readonly string[]): string {
  return ["POST /x HTTP/1.1", "host: h", ...fields, "", ""].join("\r\n");
}

/** Writes chunks of a body until the connection is closed; returns the bytes. */
async function writeWithoutEnd({ socket }: Caller): Promise<number> {
  const data = Buffer.alloc(65_536);
  const chunk = Buffer.concat([
    Buffer.from(`${data.length.toString(16)}\r\n`),
    data,
    Buffer.from("\r\n"),
  ]);
  let sentBytes = 0;
  const closed = new Promise((resolve) => socket.once("close", resolve));
  while (!socket.destroyed && sentBytes < 256 * MEGABYTE) {
    sentBytes += chunk.length;
    if (!socket.write(chunk)) {
      await Promise.race([
        new Promise((resolve) => socket.once("drain", resolve)),
        closed,
      ]);
    }
  }
  return sentBytes;
}

for (const isDripping of [false, true]) {
  const what = isDripping ? "drips" : "stops";
  test(`a body that ${what} is refused at the deadline of its call`, async () => {
    await withCaller(async (caller) => {
      const { socket } = caller;
      socket.write(
        formatHead(["content-length: 9999", "x-deadline-ms: 300"]) + "abc",
      );
      const drip = setInterval(() => isDripping && socket.write("x"), 50);
      const isClosed = await caller.closed;
      clearInterval(drip);
      assert.match(caller.getReceived(), /^HTTP\/1.1 408 /);
      assert.match(caller.getReceived(), "body_timeout");
      assert.ok(isClosed);
    });
  });
}

test("a head that comes byte by byte is refused, a connection that rests is not", async () => {
  await withCaller(async (caller) => {
    const { remotePort: port, remoteAddress: host } = await connected(caller);
    const dripping = connect(port, host);
    let answer = "";
    dripping.on("data", (data) => answer += data).on("error", () => {});
    dripping.write("POST /x HTTP/1.1\r\nhost: ");
    for (let ms = 0; ms < GIVE_UP_MS && !dripping.destroyed; ms += 50) {
      dripping.write("h");
      await sleep(50);
    }
    assert.match(answer, /^HTTP.1.1 408 /);
    // The other connection was open all that time.
    caller.socket.write(formatHead(["content-length: 1"]) + "x");
    await untilReceived(caller, "no_config");
  });
});

test("a connection that has served a request may rest longer than a head may take", async () => {
  await withCaller(async (caller) => {
    const { socket } = caller;
    socket.write(formatHead(["content-length: 1"]) + "x");
    await untilReceived(caller, "no_config");
    await sleep(3_500);
    socket.write(formatHead(["content-length: 5000000"]));
    await untilReceived(caller, "body_too_large");
  });
});

test("the connection of a body without end is closed after the refusal", async () => {
  await withCaller(async (caller) => {
    caller.socket.write(formatHead(["transfer-encoding: chunked"]));
    const sentBytes = await writeWithoutEnd(caller);
    assert.match(caller.getReceived(), /^HTTP\/1.1 413 /);
    assert.ok(sentBytes < 64 * MEGABYTE, `${sentBytes} bytes were read`);
  });
});

test("a caller reads the refusal of a large body after sending all of it, and goes on", async () => {
  await withCaller(async (caller) => {
    const { socket } = caller;
    const sizeBytes = 8 * MEGABYTE;
    socket.pause();
    socket.write(formatHead([`content-length: ${sizeBytes}`]));
    socket.write(Buffer.alloc(sizeBytes));
    await new Promise((resolve) => socket.write("", resolve));
    socket.resume();
    await untilReceived(caller, "body_too_large");
    socket.write(formatHead(["content-length: 1"]) + "x");
    await untilReceived(caller, "no_config");
  });
});

test("a body of the largest size that comes slowly is accepted", async () => {
  await withCaller(async (caller) => {
    const { socket } = caller;
    const sizeBytes = 4 * MEGABYTE;
    const partBytes = sizeBytes / 8;
    socket.write(formatHead([`content-length: ${sizeBytes}`]));
    for (let sent = 0; sent < sizeBytes; sent += partBytes) {
      socket.write(Buffer.alloc(partBytes));
      await sleep(50);
    }
    await untilReceived(caller, "no_config");
    assert.match(caller.getReceived(), /^HTTP\/1.1 503 /);
  });
});

test("the bodies of all callers take a bounded memory, and small ones are still accepted", async () => {
  await withCaller(async (small) => {
    const { remotePort: port, remoteAddress: host } = await connected(small);
    const sizeBytes = 4 * MEGABYTE - 1;
    const callers = Array.from({ length: 40 }, () => connect(port, host));
    let refused = 0;
    for (const socket of callers) {
      socket.on("error", () => {});
      socket.on("data", (data) => {
        if (String(data).includes("body_memory")) refused += 1;
        assert.match(String(data), /^HTTP.1.1 503 [^]*retry-after: 1\r/);
      });
      socket.write(formatHead([`content-length: ${sizeBytes + 1}`]));
      socket.write(Buffer.alloc(sizeBytes));
    }
    for (let ms = 0; ms < GIVE_UP_MS && refused < 28; ms += 10) await sleep(10);
    small.socket.write(formatHead(["content-length: 1"]) + "x");
    await untilReceived(small, "no_config");
    callers.forEach((socket) => socket.destroy());
    assert.ok(refused >= 28, `${refused} refused`);
    assert.ok(refused < callers.length, "bodies within the memory are kept");
  });
});

test.run();
