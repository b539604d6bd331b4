import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeHeartbeat } from "../../test/support/make_beat.ts";
import { removeUnresponsive } from "./remove_unresponsive.ts";
import { applyHeartbeat } from "./apply_heartbeat.ts";
import type { RegistryState } from "./types.ts";

const EMPTY: RegistryState = { engines: new Map() };

test("the first heartbeat registers an upstream, the next one only refreshes it", () => {
  const first = applyHeartbeat(EMPTY, makeHeartbeat(), { nowMs: 10 });
  assert.is(first.changed?.engineId, "e1");
  const second = applyHeartbeat(first.state, makeHeartbeat({ sequence: 2 }), {
    nowMs: 20,
  });
  assert.is(second.changed, undefined);
  assert.is(second.state.engines.get("e1")?.lastHeartbeatMs, 20);
});

test("a late heartbeat neither refreshes an upstream nor undoes its leave", () => {
  const leaving = makeHeartbeat({ sequence: 5, isLeaving: true });
  const { state } = applyHeartbeat(EMPTY, leaving, { nowMs: 10 });
  const late = applyHeartbeat(state, makeHeartbeat({ sequence: 4 }), {
    nowMs: 99,
  });
  assert.is(late.changed, undefined);
  assert.is(late.state.engines.get("e1")?.lastHeartbeatMs, 10);
  assert.ok(late.state.engines.get("e1")?.record.isLeaving);
});

test("a recorded leave holds in a registry that never received it", () => {
  const draining = applyHeartbeat(EMPTY, makeHeartbeat(), {
    nowMs: 0,
    leave: "draining",
  });
  assert.ok(draining.changed?.isLeaving);
  const gone = applyHeartbeat(EMPTY, makeHeartbeat(), {
    nowMs: 0,
    leave: "gone",
  });
  assert.is(gone.state.engines.size, 0);
});

test("an upstream that starts at an address displaces its previous holder", () => {
  const { state } = applyHeartbeat(EMPTY, makeHeartbeat({ sequence: 9 }), {
    nowMs: 0,
  });
  const next = makeHeartbeat({ engineId: "e2", sequence: 1 });
  const taken = applyHeartbeat(state, next, { nowMs: 100 });
  assert.equal(taken.displacedIds, ["e1"]);
  assert.equal([...taken.state.engines.keys()], ["e2"]);
});

test("late heartbeats of a terminated upstream don't take its address back", () => {
  const next = makeHeartbeat({ engineId: "e2", sequence: 1 });
  let { state } = applyHeartbeat(EMPTY, next, { nowMs: 0 });
  // Delayed by a partition, they arrive together.
  for (const [sequence, nowMs] of [[8, 50], [9, 60], [10, 70]]) {
    const late = applyHeartbeat(state, makeHeartbeat({ sequence }), { nowMs });
    assert.is(late.changed, undefined);
    state = late.state;
  }
  const alive = makeHeartbeat({ engineId: "e2", sequence: 2 });
  state = applyHeartbeat(state, alive, { nowMs: 1_200 }).state;
  const last = applyHeartbeat(state, makeHeartbeat({ sequence: 11 }), {
    nowMs: 1_300,
  });
  assert.equal([...last.state.engines.keys()], ["e2"]);
});

test("an upstream whose first heartbeat was lost gets its address after the holder stops", () => {
  let { state } = applyHeartbeat(EMPTY, makeHeartbeat({ sequence: 9 }), {
    nowMs: 0,
  });
  const second = makeHeartbeat({ engineId: "e2", sequence: 2 });
  state = applyHeartbeat(state, second, { nowMs: 300 }).state;
  assert.equal([...state.engines.keys()], ["e1"]);
  const third = makeHeartbeat({ engineId: "e2", sequence: 3 });
  const taken = applyHeartbeat(state, third, { nowMs: 1_500 });
  assert.equal(taken.displacedIds, ["e1"]);
});

test("only unresponsive upstreams are removed", () => {
  const one = applyHeartbeat(EMPTY, makeHeartbeat(), { nowMs: 0 });
  const other = makeHeartbeat({ engineId: "e2", address: "10.0.0.2:80" });
  const two = applyHeartbeat(one.state, other, { nowMs: 500 });
  const { state, lost } = removeUnresponsive(two.state, {
    nowMs: 1_200,
    heartbeatTimeoutMs: 1_000,
  });
  assert.equal(lost, ["e1"]);
  assert.equal([...state.engines.keys()], ["e2"]);
});

test.run();
