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

const TIMING = {
  electionTimeoutMs: 500,
  electionJitterMs: 200,
  heartbeatIntervalMs: 100,
  leaseMs: 400,
};

/** A replica whose program was ready 800 ms after its process started. */
const READY_MS = 800;

function start(quietSinceMs?: number): QuorumState {
  return createQuorumState("a", {
    snapshot: { index: 0, term: 0, members: MEMBERS },
    timing: TIMING,
    nowMs: READY_MS,
    quietSinceMs,
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

test("a replica keeps the silence that it may have promised before it started", () => {
  assert.not.ok(grants(start(), READY_MS + 499));
  assert.ok(grants(start(), READY_MS + 500));
  assert.not.ok(grants(start(700), READY_MS + 399));
});

test("time since its process started counts as silence", () => {
  assert.ok(grants(start(0), READY_MS));
  assert.ok(start(0).electionDeadlineMs <= READY_MS + TIMING.electionJitterMs);
});

test("until it hears a leader it stands again soon", () => {
  const first = stepQuorum(start(0), { type: "tick" }, {
    nowMs: 1_000,
    random: 0.5,
  }).state;
  assert.is(first.role, "precandidate");
  assert.is(first.electionDeadlineMs, 1_200);
  const heard = stepQuorum(first, {
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
  assert.is(heard.electionDeadlineMs, 1_700);
});

test.run();
