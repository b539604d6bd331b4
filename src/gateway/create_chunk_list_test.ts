import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createChunkList } from "./create_chunk_list.ts";

test("the bytes are those of all chunks, small and large, in their order", () => {
  const chunks = createChunkList();
  const pieces = [1, 255, 300, 2_047, 2_048, 5, 20_000, 1_000, 1_000, 9]
    .map((size, index) => Buffer.alloc(size, index + 1));
  pieces.forEach(chunks.push);
  assert.not(chunks.isEmpty());
  assert.ok(chunks.take().equals(Buffer.concat(pieces)));
  assert.ok(chunks.isEmpty());
  assert.is(chunks.take().length, 0);
});

test("what was taken is not changed by later chunks", () => {
  const chunks = createChunkList();
  chunks.push(Buffer.from("abc"));
  const first = chunks.take();
  chunks.push(Buffer.from("def"));
  assert.is(first.toString(), "abc");
  assert.is(chunks.take().toString(), "def");
});

test("a list that was cleared is empty", () => {
  const chunks = createChunkList();
  chunks.push(Buffer.alloc(5_000));
  chunks.push(Buffer.alloc(5));
  chunks.clear();
  assert.ok(chunks.isEmpty());
  assert.is(chunks.take().length, 0);
});

test.run();
