/**
 * Guards against answers that a connection cut short and that are taken for whole ones.
 */

import type { Socket } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type RawServer,
  sendSlowly,
  startRawServer,
} from "../../test/support/start_raw_server.ts";
import { createUpstreamClient } from "./create_upstream_client.ts";

type SendAnswer = (socket: Socket, server: RawServer) => void;

/** Sends a call to a server that answers so, and reads the whole answer. */
async function readAnswer(answer: SendAnswer): Promise<string> {
  await using server: RawServer = await startRawServer((socket) =>
    answer(socket, server)
  );
  await using client = createUpstreamClient();
  const { body } = await client.call({
    address: `http://${server.address}`,
    method: "POST",
    path: "/",
    body: "request",
    timeoutMs: 5_000,
  });
  return await body.text();
}

async function isWhole(answer: SendAnswer): Promise<boolean> {
  return await readAnswer(answer).then(() => true, () => false);
}

const UNFRAMED_HEADS = {
  "HTTP/1.1": "HTTP/1.1 200 OK\r\n\r\n",
  "HTTP/1.1, closing": "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n",
  "HTTP/1.0": "HTTP/1.0 200 OK\r\n\r\n",
};

for (const [name, head] of Object.entries(UNFRAMED_HEADS)) {
  for (const body of ["", "part of the body"]) {
    const place = `${name}, ${body.length} bytes of body`;

    // Guards against a short body that is passed on as a whole one.
    test(`an answer without a length that is reset is broken: ${place}`, async () => {
      const isTaken = await isWhole((socket) => {
        socket.write(`${head}${body}`);
        setTimeout(() => socket.resetAndDestroy(), 50);
      });
      assert.not.ok(isTaken);
    });

    test(`an answer without a length that is reset right after its data is broken: ${place}`, async () => {
      const isTaken = await isWhole((socket) => {
        socket.write(`${head}${body}`, () => socket.resetAndDestroy());
      });
      assert.not.ok(isTaken);
    });
  }

  // Guards against a short body that is passed on as a whole one.
  test(`an answer without a length whose upstream ends with it is broken: ${name}`, async () => {
    const isTaken = await isWhole((socket, server) => {
      server.refuseConnections();
      socket.end(`${head}part of the body`);
    });
    assert.not.ok(isTaken);
  });

  test(`an answer without a length ends with its connection: ${name}`, async () => {
    const text = await readAnswer((socket) => socket.end(`${head}whole`));
    assert.is(text, "whole");
  });
}

// Guards against coded bytes that are forwarded without the field that names their coding.
test("an answer with a transfer coding that was not requested is broken", async () => {
  const isTaken = await isWhole((socket) => {
    const head = "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip, chunked\r\n\r\n";
    socket.write(`${head}2\r\nab\r\n0\r\n\r\n`);
  });
  assert.not.ok(isTaken);
});

const FRAMED_ANSWERS = {
  "with a length": "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd",
  "in chunks":
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
};

for (const mode of ["close", "reset"] as const) {
  for (const [name, answer] of Object.entries(FRAMED_ANSWERS)) {
    // Guards against a head or a body that is cut short and taken for a whole answer.
    test(`an answer that ends at any byte before its last is broken: ${name}, ${mode}`, async () => {
      const lengths = Array.from({ length: answer.length }, (_, at) => at);
      const taken = await Promise.all(lengths.map((length) => {
        const text = answer.slice(0, length);
        return isWhole((socket) => void sendSlowly(socket, { text, mode }));
      }));
      assert.equal(lengths.filter((at) => taken[at]), []);
    });
  }
}

// Guards against whole answers of an upstream that ends next and that are taken for cut.
test("an answer that has no body is whole even if its upstream ends with it", async () => {
  const isTaken = await isWhole((socket, server) => {
    server.refuseConnections();
    socket.end("HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n");
  });
  assert.ok(isTaken);
});

/** Bytes that make the reader of a body pause: more than its buffer. */
const PAUSING_BYTES = 70_000;

for (const sizeBytes of [PAUSING_BYTES, 5_000_000]) {
  for (const mode of ["close", "reset"] as const) {
    const name = `${sizeBytes} bytes, ${mode}`;

    // Guards against a process that ends because its HTTP library asserts that a
    // connection whose parser is paused does not end.
    test(`an answer without a length may end while it is not read: ${name}`, async () => {
      const text = "x".repeat(sizeBytes);
      await using server = await startRawServer((socket) => {
        socket.write(`HTTP/1.1 200 OK\r\n\r\n${text}`);
        setTimeout(() => {
          if (mode === "close") socket.end();
          else socket.resetAndDestroy();
        }, 100);
      });
      await using client = createUpstreamClient();
      const { body } = await client.call({
        address: `http://${server.address}`,
        method: "GET",
        path: "/",
        timeoutMs: 5_000,
      });
      await new Promise((resolve) => setTimeout(resolve, 300));
      const read = await body.text().catch(() => undefined);
      assert.is(read?.length, mode === "close" ? sizeBytes : undefined);
    });
  }
}

test("a body may rest for longer than the time between two chunks while it is not read", async () => {
  const text = "x".repeat(5_000_000);
  await using server = await startRawServer((socket) => {
    const head = `HTTP/1.1 200 OK\r\ncontent-length: ${text.length}\r\n\r\n`;
    socket.write(`${head}${text}`);
  });
  await using client = createUpstreamClient({ bodyTimeoutMs: 100 });
  const call = {
    address: `http://${server.address}`,
    method: "GET",
    path: "/",
    timeoutMs: 5_000,
  };
  // The second call uses the connection of the first one.
  for (let count = 0; count < 2; count++) {
    const { body } = await client.call(call);
    await new Promise((resolve) => setTimeout(resolve, 300));
    assert.is((await body.text()).length, text.length);
  }
});

test("a body that is read and falls silent is given up", async () => {
  await using server = await startRawServer((socket) =>
    socket.write("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart")
  );
  await using client = createUpstreamClient({ bodyTimeoutMs: 100 });
  const { body } = await client.call({
    address: `http://${server.address}`,
    method: "GET",
    path: "/",
    timeoutMs: 5_000,
  });
  assert.is(await body.text().catch(() => undefined), undefined);
});

test("an answer with a length is whole even if its connection is reset after it", async () => {
  const text = await readAnswer((socket) => {
    const head = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n";
    socket.write(`${head}whole`, () => socket.resetAndDestroy());
  });
  assert.is(text, "whole");
});

// Guards against bytes that are no answer and were taken with their status.
for (const status of ["000", "099", "600", "700", "999"]) {
  test(`an answer with a status that the protocol does not know is broken: ${status}`, async () => {
    const isTaken = await isWhole((socket) => {
      socket.end(`HTTP/1.1 ${status} x\r\ncontent-length: 4\r\n\r\nabcd`);
    });
    assert.not.ok(isTaken);
  });
}

test.run();
