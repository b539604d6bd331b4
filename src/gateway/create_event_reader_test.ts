import { Buffer } from "node:buffer";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createEventReader } from "./create_event_reader.ts";

/** Reads a text in pieces of a size. */
function read(text: string, size = text.length) {
  const events: string[] = [];
  const progress: number[] = [];
  const reader = createEventReader({
    onEvent: ({ bytes }) => void events.push(bytes.toString()),
    noteProgress: (usefulBytes) => void progress.push(usefulBytes),
  });
  const bytes = Buffer.from(text);
  for (let at = 0; at < bytes.length; at += size) {
    reader.push(bytes.subarray(at, at + size));
  }
  return { events, progress, isPartial: reader.hasPartialEvent() };
}

const makeEvent = (id: number | string) => `id: ${id}\ndata: x\n\n`;

for (const size of [1, 10, 1_000]) {
  test(`each event that is later is progress, in pieces of ${size} bytes`, () => {
    const texts = [1, 2, 5, 9, 10, 100].map(makeEvent);
    const { events, progress, isPartial } = read(texts.join(""), size);
    assert.equal(events, texts);
    assert.equal(progress, texts.map(({ length }) => length));
    assert.not(isPartial);
  });
}

for (
  const [name, text] of Object.entries({
    "old ids": makeEvent(5).repeat(100),
    "falling ids": [5, 4, 3, 2, 1].map(makeEvent).join(""),
    "ids that are no numbers": ["5", "x", "y", "x"].map(makeEvent).join(""),
  })
) {
  test(`events that are not later are dropped and are no progress: ${name}`, () => {
    const { events, progress } = read(text);
    assert.equal(events, [makeEvent(5)]);
    assert.is(progress.length, 1);
  });
}

test("an id that is no number does not stop the events behind it", () => {
  const texts = [1, "x", 2, 3].map(makeEvent);
  const { events } = read(texts.join(""));
  assert.equal(events, [makeEvent(1), makeEvent(2), makeEvent(3)]);
});

test("comments are passed on, and are no progress", () => {
  const text = `: a\n\n${makeEvent(1)}: b\n\n`;
  const { events, progress } = read(text);
  assert.equal(events, [": a\n\n", makeEvent(1), ": b\n\n"]);
  assert.equal(progress, [makeEvent(1).length]);
});

test("events without ids are progress, and keep the last id", () => {
  const text = `${makeEvent(3)}data: y\n\n${makeEvent(3)}${makeEvent(4)}`;
  const { events } = read(text);
  assert.equal(events, [makeEvent(3), "data: y\n\n", makeEvent(4)]);
});

test("an event without an end is partial, and is no progress", () => {
  const { events, progress, isPartial } = read("id: 1\ndata: xxxx");
  assert.equal([events, progress, isPartial], [[], [], true]);
});

test.run();
