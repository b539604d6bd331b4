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

function makeReplica(id: string, role: Member["role"] = "voter"): Member {
  return { ...makeMember(id, role), vm: id[0] };
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

test("a learner takes the place of a voter that is about to stop, though all answer", () => {
  const isLeaving = (id: string) => id === "b";
  const options = { voters: 3, isUnresponsive: () => false, isLeaving };
  const listVoters = (members: readonly Member[]) =>
    planVoterChange(makeLeader(members), options)
      ?.filter(({ role }) => role === "voter").map(({ id }) => id);
  const withLearner = [...THREE, makeMember("d", "learner")];
  assert.equal(listVoters(withLearner), ["a", "b", "c", "d"]);
  assert.equal(listVoters([...THREE, makeMember("d")]), ["a", "c", "d"]);
  assert.is(listVoters(THREE), undefined);
});

test("an unresponsive voter stays while there is no learner to replace it", () => {
  assert.is(plan(THREE, ["c"]), undefined);
});

// Guards against a core that ended when the replacement was lost as well: it had been
// promoted first, so the two counted towards the majority together.
test("an unresponsive voter is removed once a learner has caught up, which is then promoted", () => {
  const [a, b] = THREE;
  assert.equal(plan([...THREE, makeMember("d", "learner")], ["c"]), [
    "a:voter",
    "b:voter",
    "d:learner",
  ]);
  assert.equal(plan([a, b, makeMember("d", "learner")], []), [
    "a:voter",
    "b:voter",
    "d:voter",
  ]);
  assert.equal(plan([...THREE, makeMember("d")], ["c"]), [
    "a:voter",
    "b:voter",
    "d:voter",
  ]);
});

test("no unresponsive voter is removed while there are too few", () => {
  const [a, b] = THREE;
  assert.equal(plan([a, b, makeMember("d", "learner")], ["b"]), [
    "a:voter",
    "b:voter",
    "d:voter",
  ]);
});

// Guards against a core that ended with the next loss: the old id of a lost disk was
// kept as a voter until it had been silent for seconds.
test("a voter is lost at once when its VM answers under another id", () => {
  const before = ["a", "b1", "c"].map((id) => makeReplica(id));
  assert.equal(plan([...before, makeReplica("b2", "learner")], []), [
    "a:voter",
    "c:voter",
    "b2:learner",
  ]);
  const members = ["a", "c"].map((id) => makeReplica(id));
  assert.equal(plan([...members, makeReplica("b2", "learner")], []), [
    "a:voter",
    "c:voter",
    "b2:voter",
  ]);
});

test("a lost voter stays while its absence would leave no larger share of the voters", () => {
  const members = [
    ...["a", "b1", "c"].map((id) => makeReplica(id)),
    makeReplica("b2", "learner"),
  ];
  const state = makeLeader(members);
  const peers = { ...state.peers, b2: { ...state.peers.b2, matchIndex: 0 } };
  const options = { voters: 3, isUnresponsive: () => false };
  assert.is(planVoterChange({ ...state, peers }, options), undefined);
  assert.equal(
    planVoterChange(
      { ...state, peers, members: [...members, makeMember("d")] },
      options,
    )?.map(({ id }) => id),
    ["a", "c", "b2", "d"],
  );
});

// A request to join may arrive after its sender's data folder has been lost as well.
test("a voter is kept when the later replica of its VM has never answered", () => {
  const members = [
    ...["a", "b2", "c"].map((id) => makeReplica(id)),
    makeReplica("b1", "learner"),
  ];
  const state = makeLeader(members);
  const peers = { ...state.peers, b1: { ...state.peers.b1, ackedSentMs: -1 } };
  const options = { voters: 3, isUnresponsive: () => false };
  assert.is(planVoterChange({ ...state, peers }, options), undefined);
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
