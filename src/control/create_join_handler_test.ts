import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createQuorumState,
  DEFAULT_QUORUM_TIMING,
  type Member,
} from "../quorum/index.ts";
import type { wire } from "../wire/index.ts";
import { createJoinHandler } from "./create_join_handler.ts";

const SELF: Member = { id: "a.0", vm: "a", address: "a:1", role: "voter" };

const REQUEST: wire.JoinRequest = {
  fleetId: "fleet",
  clusterId: "",
  replicaId: "b.0",
  vm: "b",
  address: "b:1",
  isObserver: false,
};

function makeHandler() {
  const changes: (readonly Member[])[] = [];
  const state = createQuorumState(SELF.id, {
    hard: { term: 1, votedFor: SELF.id },
    snapshot: { index: 0, term: 0, members: [SELF] },
    log: [],
    timing: DEFAULT_QUORUM_TIMING,
    nowMs: 0,
    random: 0,
  });
  const join = createJoinHandler({
    fleetId: "fleet",
    replica: {
      getState: () => ({ ...state, role: "leader" }),
      changeMembers: (members: readonly Member[]) => {
        changes.push(members);
        return Promise.resolve();
      },
    } as Parameters<typeof createJoinHandler>[0]["replica"],
    getIdentity: () => ({
      formatVersion: 1,
      fleetId: "fleet",
      vm: "a",
      replicaId: SELF.id,
      clusterId: "c",
    }),
    getLeaderAddress: () => SELF.address,
    isKnownVm: () => true,
  });
  return { join, changes };
}

// Each member would fail to send to it, and end.
test("a replica that can't be reached for want of an address becomes no member", async () => {
  const { join, changes } = makeHandler();
  for (const address of ["", "b:1\n", " "]) {
    const answer = await join({ ...REQUEST, address });
    assert.is(answer.accepted, false);
    assert.is(answer.reason, "bad_address");
  }
  assert.equal(changes, []);
  assert.is((await join(REQUEST)).accepted, true);
  assert.is(changes.length, 1);
});

test.run();
