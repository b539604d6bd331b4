import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Replica } from "../control/index.ts";
import {
  createQuorumState,
  type Member,
  type QuorumState,
} from "../quorum/index.ts";
import { createMembershipManager } from "./create_membership_manager.ts";

const RESPONSE_TIMEOUT_MS = 2_500;

const MEMBERS: readonly Member[] = ["a", "b", "c", "d"].map((id) => ({
  id,
  vm: id,
  address: `${id}:1`,
  role: id === "d" ? "learner" : "voter",
}));

function startManager() {
  let listenedMs = 0;
  let ackedSentMs = 1_000;
  const changes: (readonly Member[])[] = [];
  const responding = new Set(MEMBERS.map(({ id }) => id));
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
  const manager = createMembershipManager({
    replica: replica as Replica,
    voters: 3,
    responseTimeoutMs: RESPONSE_TIMEOUT_MS,
    now: () => listenedMs,
    log: () => {},
    metrics: { gauge: () => {} },
  });
  return {
    manager,
    responding,
    changes,
    /** Advances time; the leader was able to receive responses for a part of it. */
    async advance(ms: number, listeningMs = ms) {
      ackedSentMs += ms;
      listenedMs += listeningMs;
      for (const id of responding) {
        peers[id] = {
          nextIndex: 2,
          matchIndex: 1,
          ackedSentMs,
          snapshotSentMs: 0,
        };
      }
      manager.observe();
      await manager.run();
    },
  };
}

test("a voter that stays unresponsive is replaced", async () => {
  const { responding, changes, advance } = startManager();
  await advance(0);
  responding.delete("b");
  await advance(RESPONSE_TIMEOUT_MS);
  assert.equal(changes, []);
  await advance(100);
  assert.equal(changes.map((members) => members[3].role), ["voter"]);
});

// A leader that had been suspended replaced voters whose responses it had not read yet.
test("a voter whose responses this leader could not receive is kept", async () => {
  const { responding, changes, advance } = startManager();
  await advance(0);
  responding.delete("b");
  await advance(60_000, 100);
  assert.equal(changes, []);
});

test.run();
