import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEventSplitter, type StreamEvent } from "./split_events.ts";

/** Splits a text that arrives in pieces of a size. */
function split(text: string | Buffer, size = Infinity): StreamEvent[] {
  const splitter = createEventSplitter();
  const bytes = Buffer.from(text);
  const events: StreamEvent[] = [];
  for (let at = 0; at < bytes.length; at += size) {
    events.push(...splitter.push(bytes.subarray(at, at + size)));
    if (size === Infinity) break;
  }
  return events;
}

function describe(events: readonly StreamEvent[]): unknown[] {
  return events.map(({ bytes, id, isIgnored }) => [
    bytes.toString(),
    id,
    isIgnored,
  ]);
}

const STREAM = [
  "id: 1\ndata: é€😀\n\n",
  "id: 2\r\ndata: x\r\n\r\n",
  "event: end\ndata\n\n",
  "id:3\n: note\ndata: y\n\n",
];

for (const size of [1, 2, 3, 7, 64, Infinity]) {
  test(`events are the same in pieces of ${size} bytes`, () => {
    assert.equal(describe(split(STREAM.join(""), size)), [
      [STREAM[0], "1", false],
      [STREAM[1], "2", false],
      [STREAM[2], undefined, false],
      [STREAM[3], "3", false],
    ]);
  });
}

test("an event that is split over three pieces is returned with the last one", () => {
  const splitter = createEventSplitter();
  assert.equal(splitter.push(Buffer.from("id: 1\nda")), []);
  assert.ok(splitter.hasPartialEvent());
  assert.equal(splitter.push(Buffer.from("ta: x\n")), []);
  const events = splitter.push(Buffer.from("\n"));
  assert.equal(describe(events), [["id: 1\ndata: x\n\n", "1", false]]);
  assert.not(splitter.hasPartialEvent());
});

test("comments that follow one another in a piece are one ignored event", () => {
  const text = ": a\n\n: b\n\nid: 1\ndata: x\n\n: c\n\nretry: 5\n\n";
  assert.equal(describe(split(text)), [
    [": a\n\n: b\n\n", undefined, true],
    ["id: 1\ndata: x\n\n", "1", false],
    [": c\n\nretry: 5\n\n", undefined, true],
  ]);
});

test("a comment does not hide the event behind it", () => {
  assert.equal(describe(split(": a\nid: 1\ndata: x\n\n", 1)), [
    [": a\nid: 1\ndata: x\n\n", "1", false],
  ]);
});

test("an event of 200 KB in small pieces is unchanged", () => {
  const event = `id: 7\ndata: ${"0123456789".repeat(20_000)}\n\n`;
  for (const size of [100, 1_460, 4_096]) {
    const events = split(event, size);
    assert.is(events.length, 1);
    assert.is(events[0].id, "7");
    assert.ok(events[0].bytes.equals(Buffer.from(event)));
  }
});

// The unfinished event was copied and read again with each piece.
test("each byte of an event without an end is read a fixed number of times", () => {
  let reads = 0;
  const piece = new Proxy(Buffer.alloc(100, "x"), {
    get(target, name) {
      if (typeof name === "string" && /^\d+$/.test(name)) reads += 1;
      const value = Reflect.get(target, name, target);
      return typeof value === "function" ? value.bind(target) : value;
    },
  });
  const splitter = createEventSplitter();
  for (let at = 0; at < 100; at++) splitter.push(piece);
  assert.ok(reads <= 2 * 100 * 100, `${reads} reads`);
});

test("an unfinished event does not keep the buffers that its bytes came in", () => {
  const splitter = createEventSplitter();
  const piece = Buffer.alloc(4_096, "a").subarray(0, 6);
  splitter.push(piece);
  piece.fill("b");
  const [event] = splitter.push(Buffer.from(": x\n\n"));
  assert.is(event.bytes.toString(), "aaaaaa: x\n\n");
});

test.run();
