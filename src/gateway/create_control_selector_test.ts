import { test } from "uvu";
import * as assert from "uvu/assert";
import { createControlSelector } from "./create_control_selector.ts";

const NONE: ReadonlySet<string> = new Set();

function startSelector(addresses: readonly string[]) {
  const state = { nowMs: 0 };
  const choice = createControlSelector({
    listAddresses: () => addresses,
    now: () => state.nowMs,
    random: () => 1,
  });
  return { choice, state };
}

test("addresses with a pending attempt are skipped", () => {
  const { choice } = startSelector(["a", "b"]);
  assert.is(choice.findNext(NONE), "a");
  assert.is(choice.findNext(new Set(["a"])), "b");
  assert.is(choice.findNext(new Set(["a", "b"])), undefined);
});

test("a failed address waits longer each time, and comes after the others", () => {
  const { choice, state } = startSelector(["a", "b"]);
  choice.recordFailure("a");
  assert.is(choice.findNext(NONE), "b");
  assert.is(choice.findNext(new Set(["b"])), undefined);
  state.nowMs = 100;
  assert.is(choice.findNext(new Set(["b"])), "a");
  choice.recordFailure("a");
  state.nowMs = 299;
  assert.is(choice.findNext(new Set(["b"])), undefined);
  state.nowMs = 300;
  assert.is(choice.findNext(NONE), "b");
  assert.is(choice.findNext(new Set(["b"])), "a");
});

test("the named leader comes first, even if its address was unknown", () => {
  const { choice, state } = startSelector(["a", "b"]);
  choice.recordLeader("c", { by: "b" });
  assert.is(choice.findNext(NONE), "c");
  assert.is(choice.findNext(new Set(["c"])), "a");
  assert.is(choice.findNext(new Set(["a", "c"])), undefined);
  state.nowMs = 500;
  assert.is(choice.findNext(new Set(["a", "c"])), "b");
});

test("a named leader that does not answer is retried only after a back-off", () => {
  const { choice } = startSelector(["a", "b"]);
  choice.recordLeader("a", { by: "b" });
  choice.recordFailure("a");
  assert.is(choice.findNext(NONE), undefined);
});

test("a lost leader is tried last, without a wait", () => {
  const { choice } = startSelector(["a", "b"]);
  choice.recordLost("a");
  assert.is(choice.findNext(NONE), "b");
  assert.is(choice.findNext(new Set(["b"])), "a");
  choice.recordLeader("a");
  assert.is(choice.findNext(NONE), "a", "it was named as the leader again");
  choice.reset();
  assert.is(choice.findNext(NONE), "a");
});

test.run();
