import { test } from "uvu";
import * as assert from "uvu/assert";
import { createQuorumState } from "./create_quorum_state.ts";
import { hasLeaderLease } from "./_lib/reads.ts";
import { stepQuorum } from "./step_quorum.ts";
import type { Member, QuorumState } from "./types.ts";

const MEMBERS: readonly Member[] = ["a", "b", "c"].map((id) => ({
  id,
  vm: id,
  address: id,
  role: "voter",
}));

const TIMING = {
  electionTimeoutMs: 500,
  electionJitterMs: 200,
  heartbeatIntervalMs: 100,
  leaseMs: 400,
};

/** Time, in ms after the start of the process, when the replica was created. */
const READY_MS = 800;

function makeState(startedMs?: number): QuorumState {
  return createQuorumState("a", {
    snapshot: { index: 0, term: 0, members: MEMBERS },
    timing: TIMING,
    nowMs: READY_MS,
    processStartedMs: startedMs,
    random: 0.5,
  });
}

function grants(state: QuorumState, nowMs: number): boolean {
  const { effects } = stepQuorum(state, {
    type: "message",
    message: {
      from: "b",
      to: "a",
      term: 1,
      body: {
        type: "voteRequest",
        preVote: true,
        transfer: false,
        lastIndex: 0,
        lastTerm: 0,
      },
    },
  }, { nowMs, random: 0.5 });
  return effects.some((effect) =>
    effect.type === "send" && effect.message.body.type === "voteResponse" &&
    effect.message.body.granted
  );
}

test("a replica grants no vote within an election timeout of its start", () => {
  assert.not.ok(grants(makeState(), READY_MS + 499));
  assert.ok(grants(makeState(), READY_MS + 500));
  assert.not.ok(grants(makeState(700), READY_MS + 399));
});

test("the time since the process started counts towards the election timeout", () => {
  assert.ok(grants(makeState(0), READY_MS));
  assert.ok(
    makeState(0).electionDeadlineMs <= READY_MS + TIMING.electionJitterMs,
  );
});

test("until the first leader contact, elections are retried soon", () => {
  const first = stepQuorum(makeState(0), { type: "tick" }, {
    nowMs: 1_000,
    random: 0.5,
  }).state;
  assert.is(first.role, "precandidate");
  assert.is(first.electionDeadlineMs, 1_200);
  const afterContact = stepQuorum(first, {
    type: "message",
    message: {
      from: "b",
      to: "a",
      term: 1,
      body: {
        type: "appendRequest",
        previousIndex: 0,
        previousTerm: 0,
        entries: [],
        commitIndex: 0,
        sentMs: 1,
      },
    },
  }, { nowMs: 1_100, random: 0.5 }).state;
  assert.is(afterContact.electionDeadlineMs, 1_700);
});

/** A leader whose newest round was answered at 2,000 ms. */
function makeLeader(): QuorumState {
  const answered = {
    nextIndex: 2,
    matchIndex: 1,
    ackedSentMs: 2_000,
    heardMs: 2_000,
  };
  return {
    ...makeState(0),
    role: "leader",
    term: 1,
    leaderId: "a",
    log: [{ index: 1, term: 1, kind: "noop", body: "" }],
    commitIndex: 1,
    syncedIndex: 1,
    peers: { b: answered, c: answered } as unknown as QuorumState["peers"],
  };
}

test("a leader has no lease after a suspension until a quorum answers again", () => {
  const leader = makeLeader();
  assert.ok(hasLeaderLease(leader, { nowMs: 2_100 }));
  const resumed = { nowMs: 2_110, wokeMs: 2_105, random: 0.5 };
  assert.not.ok(hasLeaderLease(leader, resumed));
  const { state } = stepQuorum(leader, { type: "read", readId: 1 }, resumed);
  assert.is(state.reads.length, 1, "the read waits for a round");
  const peers = Object.fromEntries(
    Object.entries(leader.peers).map(([id, peer]) => [
      id,
      { ...peer, ackedSentMs: 2_108 },
    ]),
  );
  assert.ok(hasLeaderLease({ ...leader, peers }, resumed));
});

test.run();
