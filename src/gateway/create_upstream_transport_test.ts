import { Buffer } from "node:buffer";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { createHeldAnswer } from "./create_held_answer.ts";
import { createHeldBytes } from "./create_held_bytes.ts";
import {
  createUpstreamTransport,
  type Exchange,
  type ExchangeEnd,
  type ExchangeOptions,
  type UpstreamTransport,
} from "./create_upstream_transport.ts";
import type { CallerCodec, UpstreamHead } from "./protocol.ts";

const codec = {
  readUpstreamHead: (status, headers): UpstreamHead => ({
    status,
    headers: [],
    requestId: String(headers["x-id"] ?? ""),
    isSigned: true,
    endsWithConnection: false,
    reportsNotRun: false,
    isLeaving: headers["x-leaving"] !== undefined,
    faultAddress: undefined,
    load: undefined,
  }),
} as CallerCodec;

/** Starts a TCP server that calls `answer` for each chunk of data received. */
async function startRawServer(answer: (socket: Socket) => void) {
  const server = createServer((socket) => {
    socket.on("data", () => answer(socket));
    socket.on("error", () => {});
  });
  await new Promise<void>((resolve) => {
    server.listen(0, "127.0.0.1", resolve);
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    async [Symbol.asyncDispose]() {
      await new Promise((resolve) => server.close(resolve));
    },
  };
}

function makeRequest(address: string): ExchangeOptions {
  return {
    engineId: "e",
    address,
    method: "POST",
    target: "/x",
    headers: [],
    body: Buffer.from("hello"),
    requestId: "r1",
    onHead: () => {},
    onData: () => {},
    onEnd: () => {},
  };
}

/** Starts an exchange and returns how it ended. */
function runExchange(
  exchanger: UpstreamTransport,
  options: Pick<ExchangeOptions, "address"> & Partial<ExchangeOptions>,
): Promise<ExchangeEnd> {
  return new Promise<ExchangeEnd>((resolve) => {
    exchanger.start({
      ...makeRequest(options.address),
      onEnd: resolve,
      ...options,
    });
  });
}

async function exchange(
  answer: (socket: Socket) => void,
  requestId = "r1",
): Promise<{ end: ExchangeEnd; body: string; status: number | undefined }> {
  await using server = await startRawServer(answer);
  await using exchanger = createUpstreamTransport(codec);
  const chunks: Buffer[] = [];
  let status: number | undefined;
  const end = await new Promise<ExchangeEnd>((resolve) => {
    exchanger.start({
      engineId: "e",
      address: server.address,
      method: "POST",
      target: "/x",
      headers: [],
      body: Buffer.from("hello"),
      requestId,
      onHead: (head) => {
        status = head.status;
      },
      onData: (chunk) => void chunks.push(chunk),
      onEnd: resolve,
    });
  });
  return { end, body: Buffer.concat(chunks).toString(), status };
}

const HEAD = "HTTP/1.1 200 OK\r\nx-id: r1\r\n";

test("an answer with a length is complete when all of it has arrived", async () => {
  const { end, body } = await exchange((socket) =>
    socket.write(`${HEAD}content-length: 4\r\n\r\nabcd`)
  );
  assert.is(end.type, "complete");
  assert.is(body, "abcd");
});

test("an answer without a length is complete when the connection ends", async () => {
  const { end, body } = await exchange((socket) =>
    socket.end(`${HEAD}\r\nabcd`)
  );
  assert.is(end.type, "complete");
  assert.is(body, "abcd");
});

for (
  const [name, head] of Object.entries({
    "without a length": `${HEAD}\r\n`,
    "without a length, closing": `${HEAD}connection: close\r\n\r\n`,
    "in chunks, closing":
      `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n`,
    "with a length": `${HEAD}content-length: 9\r\n\r\n`,
  })
) {
  test(`an answer that is reset is broken: ${name}`, async () => {
    const { end } = await exchange((socket) => {
      socket.write(`${head}ab`);
      setTimeout(() => socket.resetAndDestroy(), 30);
    });
    assert.is(end.type, "broken");
  });

  test(`an answer that is reset right after its data is broken: ${name}`, async () => {
    const { end } = await exchange((socket) => {
      socket.write(`${head}ab`, () => socket.resetAndDestroy());
    });
    assert.is(end.type, "broken");
  });
}

test("an answer in chunks that ends early is broken", async () => {
  const { end } = await exchange((socket) =>
    socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nab\r\n`)
  );
  assert.is(end.type, "broken");
});

test("an answer to another request is broken, and its head is not passed on", async () => {
  const { end, status } = await exchange(
    (socket) => socket.write(`${HEAD}content-length: 0\r\n\r\n`),
    "r2",
  );
  assert.is(end.type, "broken");
  assert.is(status, undefined);
});

test("nothing is sent when the connection is refused", async () => {
  await using exchanger = createUpstreamTransport(codec);
  const end = await new Promise<ExchangeEnd>((resolve) => {
    exchanger.start({
      engineId: "e",
      address: "127.0.0.1:9",
      method: "POST",
      target: "/x",
      headers: [],
      body: null,
      requestId: "r1",
      onHead: () => {},
      onData: () => {},
      onEnd: resolve,
    });
  });
  assert.is(end.type, "notSent");
});

test("a disposed client sends nothing and reports that asynchronously", async () => {
  const exchanger = createUpstreamTransport(codec);
  await exchanger[Symbol.asyncDispose]();
  let end: ExchangeEnd | undefined;
  exchanger.start({
    engineId: "e",
    address: "127.0.0.1:9",
    method: "POST",
    target: "/x",
    headers: [],
    body: null,
    requestId: "r1",
    onHead: () => {},
    onData: () => {},
    onEnd: (received) => {
      end = received;
    },
  });
  assert.is(end, undefined);
  await sleep(0);
  assert.is(end?.type, "notSent");
});

test("an unsolicited second answer on a connection is ignored", async () => {
  const whole = `${HEAD}content-length: 1\r\n\r\na`;
  await using server = await startRawServer((socket) =>
    socket.write(whole + whole)
  );
  await using exchanger = createUpstreamTransport(codec);
  for (const requestId of ["r1", "r1"]) {
    const body: string[] = [];
    const end = await new Promise<ExchangeEnd>((resolve) => {
      exchanger.start({
        engineId: "e",
        address: server.address,
        method: "POST",
        target: "/x",
        headers: [],
        body: null,
        requestId,
        onHead: () => {},
        onData: (chunk) => void body.push(chunk.toString()),
        onEnd: resolve,
      });
    });
    assert.is(end.type, "complete");
    assert.equal(body, ["a"]);
    await sleep(20);
  }
});

test("a connection is idle between two exchanges, until its upstream is removed", async () => {
  await using server = await startRawServer((socket) =>
    socket.write(`${HEAD}content-length: 4\r\n\r\nabcd`)
  );
  await using exchanger = createUpstreamTransport(codec);
  assert.not(exchanger.hasIdleConnection("e"));
  await new Promise<ExchangeEnd>((resolve) => {
    exchanger.start({
      engineId: "e",
      address: server.address,
      method: "GET",
      target: "/x",
      headers: [],
      body: null,
      requestId: "r1",
      onHead: () => assert.not(exchanger.hasIdleConnection("e")),
      onData: () => {},
      onEnd: resolve,
    });
  });
  await sleep(20);
  assert.ok(exchanger.hasIdleConnection("e"));
  exchanger.removeUpstream("e");
  assert.not(exchanger.hasIdleConnection("e"));
});

test("a request that may no longer be sent once it has a connection is withheld", async () => {
  const receivedRequests: string[] = [];
  await using server = await startRawServer((socket) => {
    receivedRequests.push("request");
    socket.end();
  });
  await using exchanger = createUpstreamTransport(codec);
  let mayBeSent = true;
  const ending = runExchange(exchanger, {
    address: server.address,
    maySend: () => mayBeSent,
  });
  // The upstream asks for a back-off while the connection is being established.
  mayBeSent = false;
  assert.equal(await ending, { type: "withheld" });
  await sleep(50);
  assert.equal(receivedRequests, []);
});

test("a status notice is read even from an answer to another request", async () => {
  const notices: boolean[] = [];
  await using server = await startRawServer((socket) =>
    socket.write(
      "HTTP/1.1 503 x\r\nx-id: other\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
    )
  );
  await using exchanger = createUpstreamTransport(codec, {
    onNotice: (_engineId, { isLeaving }) => void notices.push(isLeaving),
  });
  const end = await runExchange(exchanger, { address: server.address });
  assert.is(end.type, "broken");
  assert.equal(notices, [true]);
});

test("a body that arrives while its exchange is paused is complete once it is resumed", async () => {
  const body = Buffer.from("0123456789".repeat(600));
  await using server = await startRawServer(async (socket) => {
    socket.write(`${HEAD}content-length: ${body.length}\r\n\r\n`);
    for (let at = 0; at < body.length; at += 1_000) {
      socket.write(body.subarray(at, at + 1_000));
      await sleep(5);
    }
  });
  await using exchanger = createUpstreamTransport(codec);
  const chunks: Buffer[] = [];
  const end = await new Promise<ExchangeEnd>((resolve) => {
    const exchange = exchanger.start({
      ...makeRequest(server.address),
      onData(chunk) {
        chunks.push(chunk);
        if (chunks.length > 1) return;
        exchange.pause();
        setTimeout(exchange.resume, 60);
      },
      onEnd: resolve,
    });
  });
  assert.equal(end, { type: "complete" });
  assert.ok(Buffer.concat(chunks).equals(body));
});

// The HTTP library can't resume one answer while it parses another.
test("an answer that waits for another one goes on when that one is complete", async () => {
  const half = Buffer.alloc(100_000, "x");
  const sockets: Socket[] = [];
  await using server = await startRawServer((socket) => {
    sockets.push(socket);
    socket.write(`${HEAD}content-length: ${2 * half.length}\r\n\r\n`);
    socket.write(half);
  });
  await using exchanger = createUpstreamTransport(codec);
  const heldBytes = createHeldBytes({ maxBytes: 100_000 });
  let paused = 0;
  const load = () =>
    new Promise<{ end: ExchangeEnd; length: number }>((resolve) => {
      const answer = createHeldAnswer(heldBytes, {
        upstreamId: "e",
        pause() {
          paused += 1;
          exchange.pause();
        },
        resume: () => exchange.resume(),
      });
      const exchange = exchanger.start({
        ...makeRequest(server.address),
        onData: answer.push,
        onEnd(end) {
          const { length } = answer.end();
          resolve({ end, length });
          answer[Symbol.dispose]();
        },
      });
    });
  const loading = [load(), load(), load()];
  await until("two answers wait", () => paused === 2);
  for (const socket of sockets) socket.write(half);
  const complete = { end: { type: "complete" }, length: 2 * half.length };
  assert.equal(await Promise.all(loading), [complete, complete, complete]);
});

test("an exchange that has ended no longer pauses or resumes its connection", async () => {
  let requests = 0;
  await using server = await startRawServer((socket) => {
    requests += 1;
    socket.write(`${HEAD}content-length: 4\r\n\r\nab`);
    setTimeout(() => socket.write("cd"), 20);
  });
  await using exchanger = createUpstreamTransport(codec);
  const start = (onData: () => void) => {
    let exchange!: Exchange;
    const ending = new Promise<ExchangeEnd>((resolve) => {
      exchange = exchanger.start({
        ...makeRequest(server.address),
        onData,
        onEnd: resolve,
      });
    });
    return { exchange, ending };
  };
  const first = start(() => {});
  assert.equal(await first.ending, { type: "complete" });
  await sleep(20);
  const pieces: number[] = [];
  const second = start(() => {
    pieces.push(pieces.length);
    if (pieces.length === 1) second.exchange.pause();
  });
  await until("the second answer has begun", () => pieces.length === 1);
  first.exchange.resume();
  await sleep(60);
  assert.is(pieces.length, 1);
  second.exchange.resume();
  first.exchange.pause();
  assert.equal(await second.ending, { type: "complete" });
  assert.is(requests, 2);
});

test.run();
