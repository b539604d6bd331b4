import { test } from "uvu";
import * as assert from "uvu/assert";
import { countToleratedLosses } from "./count_tolerated_losses.ts";
import { createQuorumState } from "./create_quorum_state.ts";
import type { Member } from "./types.ts";

function count(voters: readonly string[], unresponsive: readonly string[]) {
  const members: Member[] = voters.map((id) => ({
    id,
    vm: id,
    address: id,
    role: "voter",
  }));
  const learner = { id: "l", vm: "l", address: "l", role: "learner" } as const;
  const state = {
    ...createQuorumState("a"),
    role: "leader",
    members: [...members, learner],
  } as const;
  return countToleratedLosses(state, {
    isUnresponsive: (id) => unresponsive.includes(id),
  });
}

test("voters that are gone count towards the majority", () => {
  assert.is(count(["a", "b", "c"], []), 1);
  assert.is(count(["a", "b", "c"], ["c"]), 0);
  assert.is(count(["a", "b", "c", "d"], []), 1);
  assert.is(count(["a", "b", "c", "d", "e"], ["e"]), 1);
  assert.is(count(["a", "b", "c"], ["b", "c"]), -1);
});

test("the leader itself counts as responsive", () => {
  assert.is(count(["a", "b", "c"], ["a"]), 1);
});

test.run();
