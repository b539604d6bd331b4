import { test } from "uvu";
import * as assert from "uvu/assert";
import { createQuorumState } from "./create_quorum_state.ts";
import { stepQuorum } from "./step_quorum.ts";
import type { Member, QuorumState } from "./types.ts";

const MEMBERS: readonly Member[] = ["a", "b", "c"].map((id) => ({
  id,
  vm: id,
  address: id,
  role: "voter",
}));

const HEARTBEAT_MS = 120;

/** Time after its start for which a replica counts as lost, in ms. */
const CATCH_UP_MS = 4_000;

function makeLeader(changes: Partial<QuorumState> = {}): QuorumState {
  const progress = {
    nextIndex: 11,
    matchIndex: 10,
    ackedSentMs: 0,
    snapshotSentMs: 0,
  };
  return {
    ...createQuorumState("a", {
      hard: { term: 1, votedFor: "a" },
      snapshot: { index: 10, term: 1, members: MEMBERS },
      timing: {
        electionTimeoutMs: 500,
        electionJitterMs: 200,
        heartbeatIntervalMs: HEARTBEAT_MS,
        leaseMs: 400,
      },
    }),
    role: "leader",
    leaderId: "a",
    peers: { b: progress, c: progress },
    ...changes,
  };
}

// Guards against a new voter that came too late for the next loss: a snapshot that was
// lost on its way was sent again only after 5 s.
test("a lost snapshot is sent again before its replica counts as back", () => {
  let state = makeLeader();
  const { c } = state.peers;
  let sentCount = 0;
  for (let nowMs = 1; nowMs < CATCH_UP_MS; nowMs += HEARTBEAT_MS) {
    // "c" answers rounds, but never gets the snapshot, which it needs.
    const acked = { ...state.peers.c ?? c, ackedSentMs: nowMs, nextIndex: 1 };
    state = { ...state, peers: { ...state.peers, c: acked } };
    const result = stepQuorum(state, { type: "tick" }, { nowMs, random: 0.5 });
    state = result.state;
    sentCount += result.effects
      .filter(({ type }) => type === "sendSnapshot").length;
  }
  assert.ok(sentCount > 1);
});

// Guards against a learner that looks caught up: the leader kept what a replica had
// acknowledged before it was removed.
test("a replica that is added again starts without its earlier progress", () => {
  const members = MEMBERS.filter(({ id }) => id !== "c");
  const state = makeLeader({ members });
  assert.is(state.peers.c.matchIndex, 10);
  const next = stepQuorum(state, {
    type: "changeMembers",
    proposalId: 1,
    members: [...members, { ...MEMBERS[2], role: "learner" }],
  }, { nowMs: 1, random: 0.5 });
  assert.equal(next.state.members.map(({ id }) => id), ["a", "b", "c"]);
  assert.is(next.state.peers.c, undefined);
});

test.run();
