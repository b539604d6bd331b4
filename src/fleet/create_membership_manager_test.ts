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

const TICK_INTERVAL_MS = 100;

const ELECTION_TIMEOUT_MS = 400;

const MEMBERS: readonly Member[] = ["a", "b", "c", "d"].map((id) => ({
  id,
  vm: id,
  address: `${id}:1`,
  role: id === "d" ? "learner" : "voter",
}));

/** Starts the manager of the leader "a" of three voters and a learner. */
function startManager() {
  let nowMs = 1_000;
  let members = MEMBERS;
  let role: QuorumState["role"] = "leader";
  let leaderContactMs = 0;
  const changes: string[] = [];
  const logged: Record<string, unknown>[] = [];
  const gauges: number[] = [];
  const responding = new Set(MEMBERS.map(({ id }) => id));
  const peers: Record<string, QuorumState["peers"][string]> = {};
  const initial = createQuorumState("a", { hard: { term: 1, votedFor: "a" } });
  const replica: Pick<Replica, "getState" | "hasLease" | "changeMembers"> = {
    getState: () => ({
      ...initial,
      role,
      leaderId: role === "leader" ? "a" : "b",
      leaderContactMs,
      members,
      peers,
    }),
    hasLease: () => true,
    changeMembers(next) {
      members = next;
      const voters = next.filter(({ role }) => role === "voter");
      changes.push(voters.map(({ id }) => id).join(""));
      return Promise.resolve();
    },
  };
  const manager = createMembershipManager({
    replica,
    voters: 3,
    responseTimeoutMs: RESPONSE_TIMEOUT_MS,
    tickIntervalMs: TICK_INTERVAL_MS,
    now: () => nowMs,
    log: (name, fields = {}) => void logged.push({ name, ...fields }),
    metrics: { gauge: (_name, value) => void gauges.push(value) },
  });
  return {
    manager,
    responding,
    /** Makes "b" the leader; each round in which it responds is a contact. */
    follow: () => void (role = "follower"),
    lead() {
      role = "leader";
      for (const id of Object.keys(peers)) delete peers[id];
      manager.reset();
    },
    changes,
    logged,
    gauges,
    members: {
      remove(id: string) {
        members = members.filter((member) => member.id !== id);
      },
    },
    /** Advances time in rounds; a single round if the process is suspended. */
    async advance(ms: number, { isSuspended = false } = {}) {
      const roundMs = isSuspended ? ms : TICK_INTERVAL_MS;
      for (let passedMs = 0; passedMs < ms; passedMs += roundMs) {
        nowMs += roundMs;
        if (responding.has("b")) leaderContactMs = nowMs;
        for (const id of responding) {
          peers[id] = {
            nextIndex: 2,
            matchIndex: 1,
            ackedSentMs: nowMs,
            snapshotSentMs: 0,
          };
        }
        await manager.tick();
      }
    },
  };
}

test("a voter that stays unresponsive is replaced without a pause between the changes", async () => {
  const { responding, changes, advance } = startManager();
  await advance(TICK_INTERVAL_MS);
  responding.delete("b");
  await advance(RESPONSE_TIMEOUT_MS);
  assert.equal(changes, []);
  await advance(TICK_INTERVAL_MS);
  assert.equal(changes, ["ac", "acd"]);
});

// A leader that had been suspended replaced voters whose responses it had not read yet.
test("a voter whose responses this leader could not receive is kept", async () => {
  const { responding, changes, advance } = startManager();
  await advance(TICK_INTERVAL_MS);
  responding.delete("b");
  await advance(60_000, { isSuspended: true });
  assert.equal(changes, []);
});

// Guards against a core that ended with the next loss: a voter that was stopped as planned
// was missed only after its timeout.
test("a voter that is about to stop is replaced at once", async () => {
  const { manager, changes, advance } = startManager();
  await advance(TICK_INTERVAL_MS);
  assert.is(await manager.replace("b"), true);
  assert.equal(changes, ["abcd", "acd"]);
  assert.is(await manager.replace("c"), false);
  assert.equal(changes, ["abcd", "acd"]);
});

// Guards against a core that ended with the next loss: a new leader waited for the
// former one all over again.
test("the silence of the former leader before the election counts", async () => {
  const { responding, changes, follow, lead, advance } = startManager();
  follow();
  await advance(TICK_INTERVAL_MS);
  responding.delete("b");
  await advance(800);
  lead();
  await advance(RESPONSE_TIMEOUT_MS - 800);
  assert.equal(changes, []);
  await advance(TICK_INTERVAL_MS);
  assert.equal(changes, ["ac", "acd"]);
});

// Guards against a core that looks sound until the next loss: a voter that is down was
// counted for as long as it could not be replaced yet.
test("a voter that does not answer is no longer counted among the tolerated losses", async () => {
  const { responding, logged, gauges, advance } = startManager();
  await advance(TICK_INTERVAL_MS);
  responding.delete("b");
  await advance(ELECTION_TIMEOUT_MS + TICK_INTERVAL_MS);
  const losses = logged.filter(({ name }) => name === "toleratedLossesChanged");
  assert.equal(losses.map((line) => line.losses), [1, 0]);
  assert.equal(losses.map((line) => line.unresponsive), [[], ["b"]]);
  assert.is(gauges.at(-1), 0);
});

test("a new leader counts no voter before its first answer", async () => {
  const { responding, gauges, lead, advance } = startManager();
  responding.delete("b");
  lead();
  await advance(TICK_INTERVAL_MS);
  assert.equal(gauges, [0]);
  responding.add("b");
  await advance(TICK_INTERVAL_MS);
  assert.equal(gauges, [0, 1]);
});

// A scrape of all processes would otherwise show what a former leader counted last.
test("a process that no longer leads reports no tolerated losses", async () => {
  const { gauges, follow, advance } = startManager();
  await advance(TICK_INTERVAL_MS);
  follow();
  await advance(TICK_INTERVAL_MS);
  assert.equal(gauges, [1, 0]);
});

// Guards against a configuration that is refused although it would outlast the tolerated
// losses: a lost voter was removed, and its replacement was not promoted yet.
test("voters count as enough while a lost one is being replaced", async () => {
  const { manager, members, lead, advance } = startManager();
  lead();
  assert.is(manager.hasHadEnoughVoters(), false);
  await advance(TICK_INTERVAL_MS);
  members.remove("b");
  assert.is(manager.hasHadEnoughVoters(), true);
  lead();
  assert.is(manager.hasHadEnoughVoters(), false);
});

test.run();
