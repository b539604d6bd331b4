import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Replica } from "../control/index.ts";
import {
  createQuorumState,
  type Member,
  type QuorumState,
} from "../quorum/index.ts";
import { createMemberKeeper } from "./create_member_keeper.ts";

const SILENCE_MS = 2_500;

const MEMBERS: readonly Member[] = ["a", "b", "c", "d"].map((id) => ({
  id,
  vm: id,
  address: `${id}:1`,
  role: id === "d" ? "learner" : "voter",
}));

function startKeeper() {
  let listenedMs = 0;
  let ackedSentMs = 1_000;
  const changes: (readonly Member[])[] = [];
  const answering = new Set(MEMBERS.map(({ id }) => id));
  const peers: Record<string, QuorumState["peers"][string]> = {};
  const timing = {
    electionTimeoutMs: 500,
    electionJitterMs: 250,
    heartbeatIntervalMs: 120,
    leaseMs: 400,
  };
  const initial = createQuorumState("a", {
    hard: { term: 1, votedFor: "a" },
    log: [],
    timing,
    nowMs: 0,
    random: 0,
  });
  const replica: Pick<Replica, "getState" | "changeMembers"> = {
    getState: () => ({
      ...initial,
      role: "leader",
      members: MEMBERS,
      membersIndex: 0,
      peers,
    }),
    changeMembers: (members) => {
      changes.push(members);
      return Promise.resolve();
    },
  };
  const keeper = createMemberKeeper({
    replica: replica as Replica,
    voters: 3,
    silenceMs: SILENCE_MS,
    now: () => listenedMs,
    log: () => {},
  });
  return {
    keeper,
    answering,
    changes,
    /** Advances time; the leader was able to receive responses for a part of it. */
    async pass(ms: number, heardMs = ms) {
      ackedSentMs += ms;
      listenedMs += heardMs;
      for (const id of answering) {
        peers[id] = {
          nextIndex: 2,
          matchIndex: 1,
          ackedSentMs,
          snapshotSentMs: 0,
        };
      }
      keeper.look();
      await keeper.run();
    },
  };
}

test("a voter that stays unresponsive is replaced", async () => {
  const { answering, changes, pass } = startKeeper();
  await pass(0);
  answering.delete("b");
  await pass(SILENCE_MS);
  assert.equal(changes, []);
  await pass(100);
  assert.equal(changes.map((members) => members[3].role), ["voter"]);
});

// A leader that had been suspended replaced voters whose responses it had not read yet.
test("a voter whose responses this leader could not receive is kept", async () => {
  const { answering, changes, pass } = startKeeper();
  await pass(0);
  answering.delete("b");
  await pass(60_000, 100);
  assert.equal(changes, []);
});

test.run();
