import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { getAdmissionShare } from "./get_admission_share.ts";

function listShares(rankCount: number, isExempt = false): number[] {
  return Array.from({ length: rankCount }, (_, rank) => {
    const share = getAdmissionShare({ rank, rankCount, isExempt });
    return Math.round(share * 1_000) / 1_000;
  });
}

test("a service with one rank, or none, keeps the share that all requests had", () => {
  assert.equal(listShares(1), [0.95]);
  const share = getAdmissionShare({ rank: 0, rankCount: 0, isExempt: false });
  assert.is(share, 0.95);
});

test("each rank leaves the same step to the more urgent ones", () => {
  assert.equal(listShares(2), [0.95, 0.9]);
  assert.equal(listShares(3), [0.95, 0.9, 0.85]);
  assert.equal(listShares(4), [0.95, 0.9, 0.85, 0.8]);
  assert.equal(listShares(6), [0.95, 0.92, 0.89, 0.86, 0.83, 0.8]);
});

test("an exempt request may use as much as the most urgent ones", () => {
  assert.equal(listShares(3, true), [0.95, 0.95, 0.95]);
});

test("however many ranks there are, less urgent ones get less, and the last 0.8 or more", () => {
  fc.assert(
    fc.property(fc.integer({ min: 2, max: 200 }), (rankCount) => {
      const shares = Array.from(
        { length: rankCount },
        (_, rank) => getAdmissionShare({ rank, rankCount, isExempt: false }),
      );
      const isFalling = shares.every((share, at) =>
        at === 0 || share < shares[at - 1]
      );
      return isFalling && shares[0] === 0.95 && shares[rankCount - 1] >= 0.7999;
    }),
    { seed: 1 },
  );
});

test.run();
