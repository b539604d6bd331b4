import { Buffer } from "node:buffer";
import { EventEmitter } from "node:events";
import type { ServerResponse } from "node:http";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHeldAnswer } from "./create_held_answer.ts";
import { createHeldBytes } from "./create_held_bytes.ts";

function createAnswer() {
  const heldBytes = createHeldBytes({ maxBytes: 1_048_576 });
  const nothing = () => {};
  const answer = createHeldAnswer(heldBytes, {
    upstreamId: "a",
    pause: nothing,
    resume: nothing,
  });
  return { answer, heldBytes };
}

function createResponse(state: { writableEnded: boolean; closed: boolean }) {
  return Object.assign(new EventEmitter(), state) as unknown as ServerResponse;
}

test("the body is what was pushed, however it was cut", () => {
  const body = Buffer.from(
    Array.from({ length: 60_000 }, (_, index) => index % 251),
  );
  for (const size of [1, 7, 2_047, 2_048, 16_384, 60_000]) {
    const { answer, heldBytes } = createAnswer();
    for (let at = 0; at < body.length; at += size) {
      answer.push(body.subarray(at, at + size));
    }
    assert.is(heldBytes.getTotal(), body.length);
    assert.ok(answer.end().equals(body), `pieces of ${size}`);
  }
});

test("small and large pieces keep their order", () => {
  const { answer } = createAnswer();
  const pieces = [5, 3_000, 1, 2_048, 2_047, 20_000, 9]
    .map((size, index) => Buffer.alloc(size, index + 1));
  pieces.forEach(answer.push);
  assert.ok(answer.end().equals(Buffer.concat(pieces)));
});

test("a small piece does not keep the buffer that it was cut from", () => {
  const { answer } = createAnswer();
  const piece = Buffer.alloc(4_096, "a").subarray(0, 10);
  answer.push(piece);
  piece.fill("b");
  assert.is(answer.end().toString(), "a".repeat(10));
});

test("an answer that its caller has not read is held until the response is closed", () => {
  const { answer, heldBytes } = createAnswer();
  answer.push(Buffer.alloc(5_000));
  answer.end();
  const response = createResponse({ writableEnded: true, closed: false });
  answer.releaseWith(response);
  assert.is(heldBytes.getTotal(), 5_000);
  response.emit("close");
  assert.is(heldBytes.getTotal(), 0);
});

for (
  const state of [
    { writableEnded: false, closed: false },
    { writableEnded: true, closed: true },
    { writableEnded: false, closed: true },
  ]
) {
  test(`an answer that is not forwarded is released at once: ${JSON.stringify(state)}`, () => {
    const { answer, heldBytes } = createAnswer();
    answer.push(Buffer.alloc(5_000));
    answer.end();
    answer.releaseWith(createResponse(state));
    assert.is(heldBytes.getTotal(), 0);
    answer[Symbol.dispose]();
    assert.is(heldBytes.getTotal(), 0);
  });
}

test.run();
