import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import { PassThrough } from "node:stream";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createBodyMemory } from "./create_body_memory.ts";
import { readBody, type ReadBodyOptions } from "./read_body.ts";

const LIMITS = { maxBytes: 10_000, timeoutMs: 60_000, idleTimeoutMs: 60_000 };

function start(
  options: Partial<ReadBodyOptions> = {},
  headers: Record<string, string> = {},
) {
  const stream = new PassThrough();
  const message = Object.assign(stream, {
    headers,
  }) as unknown as IncomingMessage;
  const hold = createBodyMemory({ maxBytes: 1_000_000 }).open();
  return { stream, read: readBody(message, { ...LIMITS, hold, ...options }) };
}

test("a body in chunks of all sizes is complete and in order", async () => {
  const { stream, read } = start();
  const parts = [1, 2, 5_000, 3, 4_000].map((size, at) =>
    Buffer.alloc(size, at + 1)
  );
  parts.forEach((part) => stream.write(part));
  stream.end();
  const result = await read;
  assert.equal(result, { type: "whole", body: Buffer.concat(parts) });
});

test("an empty body is null", async () => {
  const { stream, read } = start();
  stream.end();
  assert.equal(await read, { type: "whole", body: null });
});

test("a body of the largest size is whole, one more byte is too much", async () => {
  for (const extra of [0, 1]) {
    const { stream, read } = start();
    stream.write(Buffer.alloc(LIMITS.maxBytes));
    stream.end(Buffer.alloc(extra));
    assert.is((await read).type, extra === 0 ? "whole" : "tooLarge");
  }
});

test("a length beyond the limit is refused before the body arrives", async () => {
  const { read } = start({}, { "content-length": "10001" });
  assert.equal(await read, { type: "tooLarge" });
});

test("a body is charged for the memory that it takes", async () => {
  const memory = createBodyMemory({ maxBytes: 1_000_000 });
  const { stream, read } = start({ hold: memory.open() });
  for (let at = 0; at < 100; at++) stream.write("x");
  stream.end();
  await read;
  assert.is(memory.getTotal(), 4_096);
});

test("a body without room is refused before or while it arrives", async () => {
  const memory = createBodyMemory({ maxBytes: 100_000 });
  memory.open().add(99_000);
  const hold = memory.open();
  const declared = start({ hold }, { "content-length": "2000" });
  assert.equal(await declared.read, { type: "noRoom" });
  const chunked = start({ hold });
  chunked.stream.write(Buffer.alloc(2_000));
  assert.equal(await chunked.read, { type: "noRoom" });
});

test("a body that makes no progress is late", async () => {
  const { stream, read } = start({ idleTimeoutMs: 20 });
  stream.write("abc");
  assert.equal(await read, { type: "late" });
});

test("a body that is never complete is late", async () => {
  const { stream, read } = start({ timeoutMs: 60 });
  const drip = setInterval(() => stream.write("x"), 5);
  assert.equal(await read, { type: "late" });
  clearInterval(drip);
});

test("a body whose caller leaves is cut", async () => {
  const { stream, read } = start();
  stream.write("abc");
  stream.destroy();
  assert.equal(await read, { type: "cut" });
});

test.run();
