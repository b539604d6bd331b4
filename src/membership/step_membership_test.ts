import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createMembershipState,
  FLAP_HOLD_MS,
  getLiveState,
  type MembershipEvent,
  type MembershipState,
  stepMembership,
  UNLISTED_GRACE_MS,
} from "./index.ts";

const LEASE_MS = 1_000;

function step(state: MembershipState, event: MembershipEvent, nowMs: number) {
  return stepMembership(state, event, { nowMs, leaseMs: LEASE_MS });
}

function makeHello(incarnation = "a"): MembershipEvent {
  return {
    type: "hello",
    vm: "entry-1",
    place: "bkk-1",
    address: "http://a",
    incarnation,
    revision: 3,
  };
}

function makeHeartbeat(
  overrides: { incarnation?: string; leaving?: boolean } = {},
): MembershipEvent {
  const { incarnation = "a", leaving = false } = overrides;
  const report = { inFlight: 2, demandPerS: {}, poolDemandPerS: {} };
  const heartbeat = {
    vm: "entry-1",
    incarnation,
    revision: 4,
    leaving,
    report,
  };
  return { type: "heartbeats", heartbeats: [heartbeat] };
}

test("an entry is live from its hello until its lease runs out", () => {
  const joined = step(createMembershipState(), makeHello(), 0);
  assert.equal(joined.joined, ["entry-1"]);
  const slow = step(joined.state, { type: "tick" }, 999);
  assert.equal(slow.lost, []);
  const lost = step(slow.state, { type: "tick" }, 1_000);
  assert.equal(lost.lost, ["entry-1"]);
  assert.equal(getLiveState(lost.state).entries, []);
});

test("a heartbeat renews the lease, one of an older incarnation does not", () => {
  const first = step(createMembershipState(), makeHello("a"), 0);
  const restarted = step(first.state, makeHello("b"), 100);
  const old = step(restarted.state, makeHeartbeat({ incarnation: "a" }), 900);
  assert.equal(step(old.state, { type: "tick" }, 1_100).lost, ["entry-1"]);
  const fresh = step(restarted.state, makeHeartbeat({ incarnation: "b" }), 900);
  assert.equal(step(fresh.state, { type: "tick" }, 1_100).lost, []);
});

test("leaving takes precedence over live, whoever reports it", () => {
  const joined = step(createMembershipState(), makeHello(), 0);
  const reported = step(joined.state, makeHeartbeat({ leaving: true }), 10);
  const later = step(reported.state, makeHeartbeat({ leaving: false }), 20);
  assert.ok(getLiveState(later.state).entries[0].leaving);
  const listed = step(joined.state, {
    type: "platformList",
    vms: { "entry-1": "leaving" },
    expected: [],
  }, 10);
  assert.ok(listed.changed);
  assert.ok(getLiveState(listed.state).entries[0].leaving);
});

test("an entry that is lost repeatedly is held back before it is live again", () => {
  let { state } = step(createMembershipState(), makeHello(), 0);
  let nowMs = 0;
  for (let loss = 0; loss < 3; loss++) {
    nowMs += LEASE_MS;
    ({ state } = step(state, { type: "tick" }, nowMs));
    ({ state } = step(state, makeHello(`i${loss}`), nowMs));
  }
  assert.equal(getLiveState(state).entries, []);
  nowMs += FLAP_HOLD_MS;
  const back = step(state, makeHello("last"), nowMs);
  assert.equal(back.joined, ["entry-1"]);
});

test("a VM absent from the platform's list is missing only after a grace period", () => {
  const list = (state: MembershipState, nowMs: number, vms: string[]) =>
    step(state, {
      type: "platformList",
      vms: Object.fromEntries(vms.map((vm) => [vm, "live" as const])),
      expected: ["engine-1", "engine-2"],
    }, nowMs).state;
  let state = list(createMembershipState(), 0, ["engine-1"]);
  assert.equal(getLiveState(state).vms, {});
  state = list(state, UNLISTED_GRACE_MS, ["engine-1"]);
  assert.equal(getLiveState(state).vms, { "engine-2": "missing" });
  state = list(state, UNLISTED_GRACE_MS + 1, ["engine-1", "engine-2"]);
  assert.equal(getLiveState(state).vms, {});
});

test("a list that shows none of the upstreams is ignored", () => {
  const empty = {
    type: "platformList",
    vms: {},
    expected: ["engine-1"],
  } as const;
  let { state } = step(createMembershipState(), empty, 0);
  ({ state } = step(state, empty, 60_000));
  assert.equal(getLiveState(state).vms, {});
});

test.run();
