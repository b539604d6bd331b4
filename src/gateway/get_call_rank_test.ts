import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeRoute } from "../../test/support/make_route.ts";
import type { CallPriority } from "../admission/index.ts";
import { getCallRank } from "./get_call_rank.ts";

const CALL = {
  route: makeRoute({ priority: 2 }),
  account: undefined,
  service: "s",
};

const makeTable = (priorities: readonly CallPriority[]) => ({
  listPriorities: (service: string) => service === "s" ? priorities : [],
});

test("a call is ranked among the priorities of its own service", () => {
  const table = makeTable([[0, 0], [1, 2], [2, 2]]);
  assert.equal(getCallRank(CALL, table), { rank: 2, rankCount: 3 });
  const account = { name: "one", keys: [], priority: 1 };
  assert.equal(getCallRank({ ...CALL, account }, table), {
    rank: 1,
    rankCount: 3,
  });
  const other = { ...CALL, service: "t" };
  assert.equal(getCallRank(other, table), { rank: 0, rankCount: 0 });
});

test("with one priority, or without a configuration, a call has no rank of its own", () => {
  const table = makeTable([[0, 0]]);
  assert.equal(getCallRank(CALL, table), { rank: 0, rankCount: 1 });
  assert.equal(getCallRank(CALL, undefined), { rank: 0, rankCount: 0 });
});

test.run();
