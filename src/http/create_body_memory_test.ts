import { test } from "uvu";
import * as assert from "uvu/assert";
import { createBodyMemory } from "./create_body_memory.ts";

const LARGE = 100_000;
const SMALL = 50_000;

test("beyond the limit large bodies have no room, small ones have", () => {
  const memory = createBodyMemory({ maxBytes: 400_000 });
  const results = [1, 2, 3, 4].map(() => memory.open().add(LARGE));
  assert.equal(results, [true, true, true, false]);
  assert.not(memory.open().hasRoomFor(LARGE));
  assert.ok(memory.open().add(SMALL));
  assert.ok(memory.open().add(SMALL));
  assert.not(memory.open().add(SMALL), "the limit holds for small ones too");
  assert.is(memory.getTotal(), 400_000);
});

test("a body that grows beyond the limit has no room, however it began", () => {
  const memory = createBodyMemory({ maxBytes: 400_000 });
  const [first, second] = [memory.open(), memory.open()];
  assert.ok(first.add(LARGE));
  assert.ok(second.add(SMALL));
  assert.ok(second.add(SMALL));
  assert.not(second.add(LARGE + 1));
  assert.ok(first.add(LARGE), "the oldest one goes on");
});

test("a body larger than the limit is possible while it is alone", () => {
  const memory = createBodyMemory({ maxBytes: 200_000 });
  const hold = memory.open();
  assert.ok(hold.hasRoomFor(1_000_000));
  assert.ok(hold.add(1_000_000));
  assert.not(memory.open().add(LARGE));
});

test("a body that is disposed of twice is released once", () => {
  const memory = createBodyMemory({ maxBytes: 400_000 });
  const hold = memory.open();
  hold.add(LARGE);
  memory.open().add(SMALL);
  hold[Symbol.dispose]();
  hold[Symbol.dispose]();
  assert.is(memory.getTotal(), SMALL);
  assert.not(hold.add(1));
  assert.ok(memory.open().add(LARGE));
});

test.run();
