import { test } from "uvu";
import * as assert from "uvu/assert";
import { getUrgentShare } from "./get_urgent_share.ts";

const RECENT = [1, 3, 6];

function listShares(recent: readonly number[]): number[] {
  return recent.map((_, rank) =>
    getUrgentShare({
      rank,
      rankCount: recent.length,
      getRecent: (one) => recent[one],
    })
  );
}

test("the share counts the requests of all more urgent ranks", () => {
  assert.equal(listShares(RECENT), [0, 0.1, 0.4]);
});

test("without recent requests none is more urgent", () => {
  assert.equal(listShares([0, 0, 0]), [0, 0, 0]);
});

test.run();
