import { test } from "uvu";
import * as assert from "uvu/assert";
import { createControlChoice } from "./create_control_choice.ts";

const NONE: ReadonlySet<string> = new Set();

function startChoice(addresses: readonly string[]) {
  const state = { nowMs: 0 };
  const choice = createControlChoice({
    listAddresses: () => addresses,
    now: () => state.nowMs,
    random: () => 1,
  });
  return { choice, state };
}

test("those that are being asked are passed over", () => {
  const { choice } = startChoice(["a", "b"]);
  assert.is(choice.findNext(NONE), "a");
  assert.is(choice.findNext(new Set(["a"])), "b");
  assert.is(choice.findNext(new Set(["a", "b"])), undefined);
});

test("who failed waits longer each time, and comes after the others", () => {
  const { choice, state } = startChoice(["a", "b"]);
  choice.noteFailure("a");
  assert.is(choice.findNext(NONE), "b");
  assert.is(choice.findNext(new Set(["b"])), undefined);
  state.nowMs = 100;
  assert.is(choice.findNext(new Set(["b"])), "a");
  choice.noteFailure("a");
  state.nowMs = 299;
  assert.is(choice.findNext(new Set(["b"])), undefined);
  state.nowMs = 300;
  assert.is(choice.findNext(NONE), "b");
  assert.is(choice.findNext(new Set(["b"])), "a");
});

test("who was named as the leader comes first, also where it was not known", () => {
  const { choice, state } = startChoice(["a", "b"]);
  choice.noteNamed("c", { by: "b" });
  assert.is(choice.findNext(NONE), "c");
  assert.is(choice.findNext(new Set(["c"])), "a");
  assert.is(choice.findNext(new Set(["a", "c"])), undefined);
  state.nowMs = 500;
  assert.is(choice.findNext(new Set(["a", "c"])), "b");
});

test("a leader that was named but does not answer isn't asked without a pause", () => {
  const { choice } = startChoice(["a", "b"]);
  choice.noteNamed("a", { by: "b" });
  choice.noteFailure("a");
  assert.is(choice.findNext(NONE), undefined);
});

test("the leader that was lost is asked last, without a wait", () => {
  const { choice } = startChoice(["a", "b"]);
  choice.noteLost("a");
  assert.is(choice.findNext(NONE), "b");
  assert.is(choice.findNext(new Set(["b"])), "a");
  choice.noteNamed("a");
  assert.is(choice.findNext(NONE), "a", "it leads all the same");
  choice.reset();
  assert.is(choice.findNext(NONE), "a");
});

test.run();
