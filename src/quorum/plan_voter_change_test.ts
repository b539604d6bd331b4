import { test } from "uvu";
import * as assert from "uvu/assert";
import { createQuorumState } from "./create_quorum_state.ts";
import { planVoterChange } from "./plan_voter_change.ts";
import type { Member, QuorumState } from "./types.ts";

function makeMember(id: string, role: Member["role"] = "voter"): Member {
  return { id, vm: id, address: id, role };
}

function makeLeader(members: readonly Member[]): QuorumState {
  const progress = {
    nextIndex: 11,
    matchIndex: 10,
    ackedSentMs: 0,
    snapshotSentMs: 0,
  };
  return {
    ...createQuorumState("a"),
    role: "leader",
    members,
    commitIndex: 10,
    membersIndex: 0,
    peers: Object.fromEntries(members.map(({ id }) => [id, progress])),
  };
}

function plan(members: readonly Member[], unresponsive: readonly string[]) {
  return planVoterChange(makeLeader(members), {
    voters: 3,
    isUnresponsive: (id) => unresponsive.includes(id),
  })?.map(({ id, role }) => `${id}:${role}`);
}

const THREE = ["a", "b", "c"].map((id) => makeMember(id));

test("a learner is not promoted while all voters answer", () => {
  assert.is(plan([...THREE, makeMember("d", "learner")], []), undefined);
});

test("an unresponsive voter stays while there is no learner to replace it", () => {
  assert.is(plan(THREE, ["c"]), undefined);
});

test("a learner that has caught up is promoted, then the unresponsive voter is removed", () => {
  assert.equal(plan([...THREE, makeMember("d", "learner")], ["c"]), [
    "a:voter",
    "b:voter",
    "c:voter",
    "d:voter",
  ]);
  assert.equal(plan([...THREE, makeMember("d")], ["c"]), [
    "a:voter",
    "b:voter",
    "d:voter",
  ]);
});

test("a learner is promoted in a cluster with too few voters", () => {
  const members = [makeMember("a"), makeMember("b", "learner")];
  assert.equal(plan(members, []), ["a:voter", "b:voter"]);
});

test("a lagging or unresponsive learner is not promoted", () => {
  assert.is(
    plan([...THREE, makeMember("d", "learner")], ["c", "d"]),
    undefined,
  );
  const leader = makeLeader([...THREE, makeMember("d", "learner")]);
  const lagging = {
    ...leader,
    commitIndex: 500,
  };
  const options = { voters: 3, isUnresponsive: (id: string) => id === "c" };
  assert.is(planVoterChange(lagging, options), undefined);
});

test.run();
