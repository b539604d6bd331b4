import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeBeat } from "../../test/support/make_beat.ts";
import { removeSilent } from "./remove_unresponsive.ts";
import { takeBeat } from "./apply_heartbeat.ts";
import type { RegistryState } from "./types.ts";

const EMPTY: RegistryState = { engines: new Map() };

test("the first heartbeat registers an upstream, the next one only refreshes it", () => {
  const first = takeBeat(EMPTY, makeBeat(), { nowMs: 10 });
  assert.is(first.changed?.engineId, "e1");
  const second = takeBeat(first.state, makeBeat({ sequence: 2 }), {
    nowMs: 20,
  });
  assert.is(second.changed, undefined);
  assert.is(second.state.engines.get("e1")?.heardMs, 20);
});

test("a late heartbeat neither refreshes an upstream nor undoes its leave", () => {
  const leaving = makeBeat({ sequence: 5, isLeaving: true });
  const { state } = takeBeat(EMPTY, leaving, { nowMs: 10 });
  const late = takeBeat(state, makeBeat({ sequence: 4 }), { nowMs: 99 });
  assert.is(late.changed, undefined);
  assert.is(late.state.engines.get("e1")?.heardMs, 10);
  assert.ok(late.state.engines.get("e1")?.record.isLeaving);
});

test("a recorded leave holds in a registry that never received it", () => {
  const draining = takeBeat(EMPTY, makeBeat(), { nowMs: 0, leave: "draining" });
  assert.ok(draining.changed?.isLeaving);
  const gone = takeBeat(EMPTY, makeBeat(), { nowMs: 0, leave: "gone" });
  assert.is(gone.state.engines.size, 0);
});

test("an upstream that starts at an address displaces its previous holder", () => {
  const { state } = takeBeat(EMPTY, makeBeat({ sequence: 9 }), { nowMs: 0 });
  const next = makeBeat({ engineId: "e2", sequence: 1 });
  const taken = takeBeat(state, next, { nowMs: 100 });
  assert.equal(taken.displacedIds, ["e1"]);
  assert.equal([...taken.state.engines.keys()], ["e2"]);
});

test("late heartbeats of a terminated upstream don't take its address back", () => {
  const next = makeBeat({ engineId: "e2", sequence: 1 });
  let { state } = takeBeat(EMPTY, next, { nowMs: 0 });
  // Delayed by a partition, they arrive together.
  for (const [sequence, nowMs] of [[8, 50], [9, 60], [10, 70]]) {
    const late = takeBeat(state, makeBeat({ sequence }), { nowMs });
    assert.is(late.changed, undefined);
    state = late.state;
  }
  const alive = makeBeat({ engineId: "e2", sequence: 2 });
  state = takeBeat(state, alive, { nowMs: 1_200 }).state;
  const last = takeBeat(state, makeBeat({ sequence: 11 }), { nowMs: 1_300 });
  assert.equal([...last.state.engines.keys()], ["e2"]);
});

test("an upstream whose first heartbeat was lost gets its address after the holder stops", () => {
  let { state } = takeBeat(EMPTY, makeBeat({ sequence: 9 }), { nowMs: 0 });
  const second = makeBeat({ engineId: "e2", sequence: 2 });
  state = takeBeat(state, second, { nowMs: 300 }).state;
  assert.equal([...state.engines.keys()], ["e1"]);
  const third = makeBeat({ engineId: "e2", sequence: 3 });
  const taken = takeBeat(state, third, { nowMs: 1_500 });
  assert.equal(taken.displacedIds, ["e1"]);
});

test("only unresponsive upstreams are removed", () => {
  const one = takeBeat(EMPTY, makeBeat(), { nowMs: 0 });
  const other = makeBeat({ engineId: "e2", address: "10.0.0.2:80" });
  const two = takeBeat(one.state, other, { nowMs: 500 });
  const { state, lost } = removeSilent(two.state, {
    nowMs: 1_200,
    silenceMs: 1_000,
  });
  assert.equal(lost, ["e1"]);
  assert.equal([...state.engines.keys()], ["e2"]);
});

test.run();
