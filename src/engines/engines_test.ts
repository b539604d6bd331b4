import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeBeat } from "../../test/support/make_beat.ts";
import { removeSilent } from "./remove_silent.ts";
import { takeBeat } from "./take_beat.ts";
import type { RegistryState } from "./types.ts";

const EMPTY: RegistryState = { engines: new Map() };

test("a beat registers, the next one only refreshes", () => {
  const first = takeBeat(EMPTY, makeBeat(), { nowMs: 10 });
  assert.is(first.changed?.engineId, "e1");
  const second = takeBeat(first.state, makeBeat({ sequence: 2 }), {
    nowMs: 20,
  });
  assert.is(second.changed, undefined);
  assert.is(second.state.engines.get("e1")?.heardMs, 20);
});

test("a late beat neither refreshes nor takes a leave back", () => {
  const leaving = makeBeat({ sequence: 5, isLeaving: true });
  const { state } = takeBeat(EMPTY, leaving, { nowMs: 10 });
  const late = takeBeat(state, makeBeat({ sequence: 4 }), { nowMs: 99 });
  assert.is(late.changed, undefined);
  assert.is(late.state.engines.get("e1")?.heardMs, 10);
  assert.ok(late.state.engines.get("e1")?.record.isLeaving);
});

test("a recorded leave holds for a registry that never saw it", () => {
  const draining = takeBeat(EMPTY, makeBeat(), { nowMs: 0, leave: "draining" });
  assert.ok(draining.changed?.isLeaving);
  const gone = takeBeat(EMPTY, makeBeat(), { nowMs: 0, leave: "gone" });
  assert.is(gone.state.engines.size, 0);
});

test("the silent are dropped, the others stay", () => {
  const one = takeBeat(EMPTY, makeBeat(), { nowMs: 0 });
  const two = takeBeat(one.state, makeBeat({ engineId: "e2" }), { nowMs: 500 });
  const { state, lost } = removeSilent(two.state, {
    nowMs: 1_200,
    silenceMs: 1_000,
  });
  assert.equal(lost, ["e1"]);
  assert.equal([...state.engines.keys()], ["e2"]);
});

test.run();
