import { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import {
  sendSlowly,
  startRawServer,
} from "../../test/support/start_raw_server.ts";
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
    isCoded: headers["transfer-encoding"] === "gzip, chunked",
    reportsNotRun: headers["x-not-run"] !== undefined,
    isLeaving: headers["x-leaving"] !== undefined,
    faultAddress: undefined,
    load: undefined,
  }),
} as CallerCodec;

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

const FRAMED_ANSWERS = {
  "with a length": `${HEAD}content-length: 4\r\n\r\nabcd`,
  "in chunks":
    `${HEAD}transfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n`,
  "of HTTP/1.0": `HTTP/1.0 200 OK\r\nx-id: r1\r\ncontent-length: 1\r\n\r\na`,
  "behind an interim head":
    `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n${HEAD}content-length: 1\r\n\r\na`,
};

for (const mode of ["close", "reset"] as const) {
  for (const [name, answer] of Object.entries(FRAMED_ANSWERS)) {
    // Guards against a head or a body that is cut short and taken for a whole answer.
    test(`an answer that ends at any byte before its last is broken: ${name}, ${mode}`, async () => {
      const lengths = Array.from({ length: answer.length }, (_, at) => at);
      const ends = await Promise.all(lengths.map((length) => {
        const text = answer.slice(0, length);
        return exchange((socket) => void sendSlowly(socket, { text, mode }));
      }));
      const taken = lengths.filter((at) => ends[at].end.type !== "broken");
      assert.equal(taken, []);
    });
  }

  test(`a head without a length that ends at any byte before its last is broken: ${mode}`, async () => {
    const head = `${HEAD}\r\n`;
    const lengths = Array.from({ length: head.length }, (_, at) => at);
    const ends = await Promise.all(lengths.map((length) => {
      const text = head.slice(0, length);
      return exchange((socket) => void sendSlowly(socket, { text, mode }));
    }));
    assert.equal(lengths.filter((at) => ends[at].end.type !== "broken"), []);
  });
}

test("an answer in chunks that ends early is broken", async () => {
  const { end } = await exchange((socket) =>
    socket.end(`${HEAD}transfer-encoding: chunked\r\n\r\n2\r\nab\r\n`)
  );
  assert.is(end.type, "broken");
});

// Guards against coded bytes that are forwarded without the field that names their coding.
test("an answer with a transfer coding that was not requested is broken", async () => {
  const { end, status } = await exchange((socket) =>
    socket.write(
      `${HEAD}transfer-encoding: gzip, chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n`,
    )
  );
  assert.is(end.type, "broken");
  assert.is(status, undefined);
});

// Guards against bytes that are no answer and were passed on with their status.
for (const status of ["000", "099", "600", "700", "999"]) {
  for (const framing of ["content-length: 4\r\n", ""]) {
    const how = framing === "" ? "until the close" : "with a length";
    test(`an answer with a status that the protocol does not know is broken: ${status}, ${how}`, async () => {
      const { end, status: passedOn } = await exchange((socket) =>
        socket.end(`HTTP/1.1 ${status} x\r\nx-id: r1\r\n${framing}\r\nabcd`)
      );
      assert.is(end.type, "broken");
      assert.is(passedOn, undefined);
    });
  }
}

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

/** Bytes that are read at once, so that the first ones may follow a head. */
const SLICE_BYTES = 4_096;

const LIMITS = {
  answerBytes: 100_000,
  withoutProgressBytes: 50_000,
  withoutProgressReads: 20,
};

const CHUNKED = `${HEAD}transfer-encoding: chunked\r\n\r\n`;

/** Makes chunks of a body of the given sizes. */
function makeChunks(...sizes: readonly number[]): string {
  return sizes.map((size) => `${size.toString(16)}\r\n${"x".repeat(size)}\r\n`)
    .join("");
}

/** Sends a start, and then a piece again and again until the connection is closed. */
function sendEndless(
  socket: Socket,
  { start, repeated, intervalMs }: {
    readonly start: string;
    readonly repeated: string;
    readonly intervalMs?: number;
  },
): void {
  socket.setNoDelay(true);
  socket.write(start);
  if (intervalMs !== undefined) {
    const timer = setInterval(() => socket.write(repeated), intervalMs);
    return void socket.on("close", () => clearInterval(timer));
  }
  const block = repeated.repeat(Math.ceil(20_000 / repeated.length));
  const fill = () => {
    while (!socket.destroyed && socket.write(block));
  };
  socket.on("drain", fill);
  fill();
}

/** Runs exchanges with a server, and resolves once each connection is closed. */
async function runLimited(
  answer: (socket: Socket) => void,
  options: Partial<ExchangeOptions> = {},
) {
  const closed: Promise<unknown>[] = [];
  await using server = await startRawServer((socket) => {
    closed.push(new Promise((resolve) => socket.on("close", resolve)));
    answer(socket);
  });
  await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
  let bytes = 0;
  const end = await runExchange(exchanger, {
    address: server.address,
    onData: (chunk) => {
      bytes += chunk.length;
    },
    ...options,
  });
  await Promise.all(closed);
  return { end, bytes };
}

for (
  const [name, { limit, ...answer }] of Object.entries({
    "interim heads": {
      start: "",
      repeated: "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n",
      limit: "withoutProgressBytes",
    },
    "interim heads that drip": {
      start: "",
      repeated: "HTTP/1.1 103 Early Hints\r\n\r\n",
      intervalMs: 5,
      limit: "withoutProgressReads",
    },
    "a head that drips": {
      start: `${HEAD}x-y: `,
      repeated: "x",
      intervalMs: 5,
      limit: "withoutProgressReads",
    },
    "a body in chunks": {
      start: CHUNKED,
      repeated: makeChunks(16_384),
      limit: "answerBytes",
    },
    "a body in tiny chunks": {
      start: CHUNKED,
      repeated: makeChunks(1),
      limit: "withoutProgressBytes",
    },
    "a body in small chunks": {
      start: CHUNKED,
      repeated: makeChunks(10),
      limit: "answerBytes",
    },
    "a body without a length": {
      start: `${HEAD}\r\n`,
      repeated: "x",
      limit: "answerBytes",
    },
    "a body with a long length": {
      start: `${HEAD}content-length: 100000000000\r\n\r\n`,
      repeated: "x",
      limit: "answerBytes",
    },
    "a chunk extension": {
      start: `${CHUNKED}1;x=`,
      repeated: "x",
      limit: "withoutProgressBytes",
    },
    "a chunk extension that drips": {
      start: `${CHUNKED}1;x=`,
      repeated: "x",
      intervalMs: 5,
      limit: "withoutProgressReads",
    },
  })
) {
  test(`an endless answer exceeds a limit, and its connection is closed: ${name}`, async () => {
    const { end, bytes } = await runLimited((socket) =>
      sendEndless(socket, answer)
    );
    assert.is(end.type === "broken" && end.limit, limit, JSON.stringify(end));
    assert.ok(bytes <= LIMITS.answerBytes);
  });
}

// The HTTP library itself limits heads and trailers to 16 KB.
for (
  const [name, answer] of Object.entries({
    "random bytes": { start: "", repeated: "\u0001\u0002xyz" },
    "one line": { start: "", repeated: "x" },
    "header lines": { start: HEAD, repeated: "x: y\r\n" },
    "one header line": { start: `${HEAD}x: `, repeated: "x" },
    "a trailer": { start: `${CHUNKED}0\r\n`, repeated: "x: y\r\n" },
  })
) {
  test(`an endless answer is broken, and its connection is closed: ${name}`, async () => {
    const { end, bytes } = await runLimited((socket) =>
      sendEndless(socket, answer)
    );
    assert.is(end.type, "broken");
    assert.is(bytes, 0);
  });
}

for (
  const [name, start] of Object.entries({
    "in chunks": CHUNKED,
    "without a length": `${HEAD}\r\n`,
  })
) {
  test(`a forwarded body is limited only where it makes no progress: ${name}`, async () => {
    const { end, bytes } = await runLimited(
      (socket) => sendEndless(socket, { start, repeated: makeChunks(16_384) }),
      { isForwarded: () => true },
    );
    assert.is(end.type === "broken" && end.limit, "withoutProgressBytes");
    assert.ok(bytes <= LIMITS.withoutProgressBytes + SLICE_BYTES);
  });
}

test("a forwarded body that makes progress may be longer than a held one", async () => {
  await using server = await startRawServer((socket) =>
    socket.end(`${HEAD}\r\n${"x".repeat(400_000)}`)
  );
  await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
  let bytes = 0;
  const end = await new Promise<ExchangeEnd>((resolve) => {
    const exchange = exchanger.start({
      ...makeRequest(server.address),
      isForwarded: () => true,
      onData(chunk) {
        bytes += chunk.length;
        exchange.noteProgress(chunk.length);
      },
      onEnd: resolve,
    });
  });
  assert.equal(end, { type: "complete" });
  assert.is(bytes, 400_000);
});

for (
  const [name, { pieces, bytes }] of Object.entries({
    "just as long as the limit": {
      pieces: [`${HEAD}content-length: 100000\r\n\r\n`, "x".repeat(100_000)],
      bytes: 100_000,
    },
    "1,000 small chunks": {
      pieces: [CHUNKED, ...Array(1_000).fill(makeChunks(3)), "0\r\n\r\n"],
      bytes: 3_000,
    },
    "chunks in three pieces": {
      pieces: [
        CHUNKED,
        ...Array(100).fill(["8\r\n", "12345678", "\r\n"]).flat(),
        "0\r\n\r\n",
      ],
      bytes: 800,
    },
    "single bytes": {
      pieces: [
        `${HEAD}content-length: 300\r\n\r\n`,
        ..."x".repeat(300),
      ],
      bytes: 300,
    },
    "a few interim heads": {
      pieces: [
        ...Array(5).fill("HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
        `${HEAD}content-length: 2\r\n\r\nxx`,
      ],
      bytes: 2,
    },
  })
) {
  test(`an honest answer exceeds no limit, and its connection is kept: ${name}`, async () => {
    await using server = await startRawServer(async (socket) => {
      socket.setNoDelay(true);
      for (const piece of pieces) {
        socket.write(piece);
        await sleep(1);
      }
    });
    await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
    let length = 0;
    const end = await runExchange(exchanger, {
      address: server.address,
      onData: (chunk) => {
        length += chunk.length;
      },
    });
    assert.equal(end, { type: "complete" });
    assert.is(length, bytes);
    await until(
      "the connection is idle",
      () => exchanger.hasIdleConnection("e"),
    );
  });
}

const NOT_RUN = "HTTP/1.1 503 x\r\nx-id: r1\r\nx-not-run: 1\r\n";

for (
  const [name, answer] of Object.entries({
    "fast": {
      start: `${NOT_RUN}transfer-encoding: chunked\r\n\r\n`,
      repeated: makeChunks(1_000),
    },
    "in tiny chunks": {
      start: `${NOT_RUN}transfer-encoding: chunked\r\n\r\n`,
      repeated: makeChunks(1),
    },
    "a chunk extension": {
      start: `${NOT_RUN}transfer-encoding: chunked\r\n\r\n1;x=`,
      repeated: "x",
    },
    "drop by drop": {
      start: `${NOT_RUN}content-length: 100000\r\n\r\n`,
      repeated: "x",
      intervalMs: 20,
    },
    "nothing": {
      start: `${NOT_RUN}content-length: 10\r\n\r\n`,
      repeated: "",
      intervalMs: 100,
    },
  })
) {
  test(`a rejection without an end is complete, and its connection is closed: ${name}`, async () => {
    const { end, bytes } = await runLimited((socket) =>
      sendEndless(socket, answer)
    );
    assert.equal(end, { type: "complete" });
    assert.is(bytes, 0);
  });
}

test("a rejection is complete before its body has arrived, and its connection is kept", async () => {
  const connections = new Set<Socket>();
  let requestId = "";
  let sendBody = () => {};
  await using server = await startRawServer((socket) => {
    connections.add(socket);
    const head = NOT_RUN.replace("x-id: r1", `x-id: ${requestId}`);
    socket.write(`${head}content-length: 10000\r\n\r\n`);
    sendBody = () => void socket.write("x".repeat(10_000));
  });
  await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
  for (let at = 0; at < 2; at++) {
    const { address } = server;
    // Another request each time: one that is sent again goes over another connection.
    requestId = `r${at}`;
    assert.equal(await runExchange(exchanger, { address, requestId }), {
      type: "complete",
    });
    assert.not(exchanger.hasIdleConnection("e"));
    sendBody();
    await until(
      "the connection is idle",
      () => exchanger.hasIdleConnection("e"),
    );
  }
  // Beyond the time for which the body may take.
  await sleep(1_100);
  assert.ok(exchanger.hasIdleConnection("e"));
  assert.is(connections.size, 1);
});

/** Starts a server that refuses requests on a connection until it has sent a number. */
async function startRefusingServer(options: {
  readonly refusals: number;
  readonly status: string;
}) {
  const counts = new Map<Socket, number>();
  let requests = 0;
  const server = await startRawServer((socket) => {
    requests += 1;
    const refusal = `HTTP/1.1 ${options.status}\r\nx-id: r1\r\n` +
      "content-length: 0\r\n\r\n";
    const sent = counts.get(socket) ?? 0;
    counts.set(socket, sent + 1);
    if (requests <= options.refusals) return void socket.write(refusal);
    // A connection that has carried a refusal sends a copy of it first.
    if (sent > 0) socket.write(refusal);
    socket.write(`${HEAD}content-length: 4\r\n\r\nabcd`);
  });
  return { server, counts };
}

const WITHOUT_SUCCESS = {
  "a refusal": "503 Service Unavailable\r\nx-not-run: 1",
  "a failure": "500 Internal Server Error",
};

for (const [kind, status] of Object.entries(WITHOUT_SUCCESS)) {
  // Guards against running a request twice: a late copy of the first answer was taken for
  // the answer to the second send, which ran, and the request went on to another upstream.
  test(`a late copy of ${kind} is not the answer when the request is sent again`, async () => {
    const { server, counts } = await startRefusingServer({
      refusals: 2,
      status,
    });
    await using _server = server;
    await using exchanger = createUpstreamTransport(codec);
    const { address } = server;
    for (
      const expected of [[status.slice(0, 3)], [status.slice(0, 3)], ["200"]]
    ) {
      const statuses: string[] = [];
      const onHead = (head: UpstreamHead) =>
        void statuses.push(String(head.status));
      const end = await runExchange(exchanger, { address, onHead });
      assert.equal(end, { type: "complete" });
      assert.equal(statuses, expected);
      await sleep(20);
    }
    assert.is(counts.size, 3);
  });
}

test("a connection that serves another request is not closed for one that is sent again", async () => {
  let requests = 0;
  const release: (() => void)[] = [];
  await using server = await startRawServer((socket) => {
    requests += 1;
    if (requests === 1) {
      return void socket.write(`${NOT_RUN}content-length: 0\r\n\r\n`);
    }
    const head = requests === 2 ? HEAD.replace("r1", "r2") : HEAD;
    release.push(() =>
      void socket.write(`${head}content-length: 4\r\n\r\nabcd`)
    );
  });
  await using exchanger = createUpstreamTransport(codec);
  const { address } = server;
  await runExchange(exchanger, { address });
  await sleep(20);
  const other = runExchange(exchanger, { address, requestId: "r2" });
  await until("the other one is sent", () => release.length === 1);
  const again = runExchange(exchanger, { address });
  await until("it is sent again", () => release.length === 2);
  release.forEach((send) => send());
  assert.equal(await Promise.all([other, again]), [
    { type: "complete" },
    { type: "complete" },
  ]);
});

test("a connection is closed after a number of refusals, and no request is lost", async () => {
  let connections = 0;
  const known = new Set<Socket>();
  let requestId = "";
  await using server = await startRawServer((socket) => {
    if (!known.has(socket)) connections += 1;
    known.add(socket);
    const head = NOT_RUN.replace("x-id: r1", `x-id: ${requestId}`);
    socket.write(`${head}content-length: 0\r\n\r\n`);
  });
  await using exchanger = createUpstreamTransport(codec);
  const { address } = server;
  for (let at = 0; at < 250; at++) {
    requestId = `r${at}`;
    assert.equal(await runExchange(exchanger, { address, requestId }), {
      type: "complete",
    });
  }
  assert.ok(connections >= 3);
  assert.ok(connections < 25, `${connections} connections`);
});

test("the body of a rejection that is needed is part of the answer", async () => {
  await using server = await startRawServer((socket) =>
    socket.write(`${NOT_RUN}content-length: 4\r\n\r\nabcd`)
  );
  await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
  let body = "";
  const end = await runExchange(exchanger, {
    address: server.address,
    needsRejectionBody: true,
    onData: (chunk) => {
      body += chunk;
    },
  });
  assert.equal(end, { type: "complete" });
  assert.is(body, "abcd");
});

test("a needed body of a rejection is limited as that of other answers", async () => {
  const { end } = await runLimited(
    (socket) => sendEndless(socket, { start: `${NOT_RUN}\r\n`, repeated: "x" }),
    { needsRejectionBody: true },
  );
  assert.is(end.type === "broken" && end.limit, "answerBytes");
});

test("pausing again and again loses, repeats and counts no byte", async () => {
  const text = Array.from({ length: 4_000 }, (_, index) => `${index},`).join(
    "",
  );
  const pieces = text.match(/.{1,50}/g) ?? [];
  await using server = await startRawServer((socket) => {
    const chunks = pieces.map((piece) =>
      `${piece.length.toString(16)}\r\n${piece}\r\n`
    );
    socket.write(`${CHUNKED}${chunks.join("")}0\r\n\r\n`);
  });
  // The body and its framing fit the limit of bytes without progress just once.
  const withoutProgressBytes = Math.ceil(text.length * 1.2);
  await using exchanger = createUpstreamTransport(codec, {
    limits: { ...LIMITS, withoutProgressBytes },
  });
  let received = "";
  const end = await new Promise<ExchangeEnd>((resolve) => {
    const exchange = exchanger.start({
      ...makeRequest(server.address),
      isForwarded: () => true,
      onData(chunk) {
        received += chunk;
        exchange.pause();
        setImmediate(exchange.resume);
      },
      onEnd: resolve,
    });
  });
  assert.equal(end, { type: "complete" });
  assert.is(received, text);
});

for (const closes of ["end", "resetAndDestroy", "destroy"] as const) {
  test(`an exchange whose connection is closed while it is paused is settled: ${closes}`, async () => {
    await using server = await startRawServer((socket) => {
      socket.write(`${HEAD}content-length: 9000\r\n\r\n${"x".repeat(100)}`);
      setTimeout(() => socket[closes](), 20);
    });
    await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
    const end = await new Promise<ExchangeEnd>((resolve) => {
      const exchange = exchanger.start({
        ...makeRequest(server.address),
        onData() {
          exchange.pause();
          setTimeout(exchange.resume, 60);
        },
        onEnd: resolve,
      });
    });
    assert.is(end.type, "broken");
  });
}

test("an exchange that is aborted while it is paused closes its connection", async () => {
  let closed: Promise<unknown> | undefined;
  await using server = await startRawServer((socket) => {
    closed = new Promise((resolve) => socket.on("close", resolve));
    socket.write(`${HEAD}\r\n${"x".repeat(90_000)}`);
  });
  await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
  const end = await new Promise<ExchangeEnd>((resolve) => {
    const exchange = exchanger.start({
      ...makeRequest(server.address),
      onData() {
        exchange.pause();
        setTimeout(() => {
          exchange.abort("left");
          exchange.resume();
        }, 20);
      },
      onEnd: resolve,
    });
  });
  assert.equal(end, { type: "broken", reason: "left" });
  await closed;
});

test("the limits start anew for each answer of a connection", async () => {
  const connections = new Set<Socket>();
  await using server = await startRawServer((socket) => {
    connections.add(socket);
    // Its framing is just within the limit.
    socket.write(`${CHUNKED}1;x=${"x".repeat(40_000)}\r\nx\r\n0\r\n\r\n`);
  });
  await using exchanger = createUpstreamTransport(codec, { limits: LIMITS });
  for (let at = 0; at < 3; at++) {
    const end = await runExchange(exchanger, { address: server.address });
    assert.equal(end, { type: "complete" });
    await sleep(20);
  }
  assert.is(connections.size, 1);
});

// The process was ended by an assertion of the HTTP library.
for (
  const [name, head, tail] of [
    ["without a length", `${HEAD}\r\n`, ""],
    [
      "with a length",
      `${HEAD}connection: close\r\ncontent-length: 8\r\n\r\n`,
      "",
    ],
    [
      "in chunks",
      `${HEAD}connection: close\r\ntransfer-encoding: chunked\r\n\r\n8\r\n`,
      "\r\n0\r\n\r\n",
    ],
  ]
) {
  test(`an answer ${name} whose upstream closes while it is paused ends its exchange only`, async () => {
    await using server = await startRawServer((socket) => {
      socket.write(`${head}abcd`);
      setTimeout(() => socket.end(`efgh${tail}`), 20);
    });
    await using exchanger = createUpstreamTransport(codec);
    const chunks: Buffer[] = [];
    const end = await new Promise<ExchangeEnd>((resolve) => {
      const exchange = exchanger.start({
        ...makeRequest(server.address),
        onData(chunk) {
          chunks.push(chunk);
          exchange.pause();
          setTimeout(exchange.resume, 60);
        },
        onEnd: resolve,
      });
    });
    assert.is(end.type, "complete");
    assert.is(Buffer.concat(chunks).toString(), "abcdefgh");
  });
}

test("a request to an address that is none ends unsent and throws nothing", async () => {
  await using transport = createUpstreamTransport(codec);
  for (const address of ["", "10.0.0.256:80", "10.0.0.1:99999", "a b:80"]) {
    const engineId = address;
    const end = await runExchange(transport, { engineId, address });
    assert.is(end.type, "notSent", address);
  }
});

test.run();
