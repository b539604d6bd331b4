import { test } from "uvu";
import * as assert from "uvu/assert";
import { createControlSelector } from "./create_control_selector.ts";

const NONE: ReadonlySet<string> = new Set();

function startSelector(addresses: readonly string[]) {
  const state = { nowMs: 0 };
  const selector = createControlSelector({
    listAddresses: () => addresses,
    now: () => state.nowMs,
    random: () => 1,
  });
  return { selector, state };
}

test("addresses with a pending attempt are skipped", () => {
  const { selector } = startSelector(["a", "b"]);
  assert.is(selector.findNext(NONE), "a");
  assert.is(selector.findNext(new Set(["a"])), "b");
  assert.is(selector.findNext(new Set(["a", "b"])), undefined);
});

test("a failed address waits longer each time, and comes after the others", () => {
  const { selector, state } = startSelector(["a", "b"]);
  selector.recordFailure("a");
  assert.is(selector.findNext(NONE), "b");
  assert.is(selector.findNext(new Set(["b"])), undefined);
  state.nowMs = 100;
  assert.is(selector.findNext(new Set(["b"])), "a");
  selector.recordFailure("a");
  state.nowMs = 299;
  assert.is(selector.findNext(new Set(["b"])), undefined);
  state.nowMs = 300;
  assert.is(selector.findNext(NONE), "b");
  assert.is(selector.findNext(new Set(["b"])), "a");
});

test("the named leader comes first, even if its address was unknown", () => {
  const { selector, state } = startSelector(["a", "b"]);
  selector.recordLeader("c", { by: "b" });
  assert.is(selector.findNext(NONE), "c");
  assert.is(selector.findNext(new Set(["c"])), "a");
  assert.is(selector.findNext(new Set(["a", "c"])), undefined);
  state.nowMs = 500;
  assert.is(selector.findNext(new Set(["a", "c"])), "b");
});

test("a named leader that does not answer is retried only after a back-off", () => {
  const { selector } = startSelector(["a", "b"]);
  selector.recordLeader("a", { by: "b" });
  selector.recordFailure("a");
  assert.is(selector.findNext(NONE), undefined);
});

test("a lost leader is tried last, without a wait", () => {
  const { selector } = startSelector(["a", "b"]);
  selector.recordLost("a");
  assert.is(selector.findNext(NONE), "b");
  assert.is(selector.findNext(new Set(["b"])), "a");
  selector.recordLeader("a");
  assert.is(selector.findNext(NONE), "a", "it was named as the leader again");
  selector.reset();
  assert.is(selector.findNext(NONE), "a");
});

test.run();
