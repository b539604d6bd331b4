import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { getAdmissionShare } from "./get_admission_share.ts";

function round(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}

test("the most urgent requests keep the share that all requests had", () => {
  assert.is(getAdmissionShare({ urgentShare: 0, isExempt: false }), 0.95);
});

test("the reserve grows with the share of more urgent requests", () => {
  const shares = [0.12, 1 / 3, 2 / 3, 1].map((urgentShare) =>
    round(getAdmissionShare({ urgentShare, isExempt: false }))
  );
  assert.equal(shares, [0.932, 0.9, 0.85, 0.8]);
});

test("an exempt request may use as much as the most urgent ones", () => {
  assert.is(getAdmissionShare({ urgentShare: 1, isExempt: true }), 0.95);
});

test("less urgent requests get less, and 0.8 or more", () => {
  const share = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(share, share, (a, b) => {
      const [few, many] = [Math.min(a, b), Math.max(a, b)];
      const get = (urgentShare: number) =>
        getAdmissionShare({ urgentShare, isExempt: false });
      return get(many) <= get(few) && get(many) >= 0.7999;
    }),
    { seed: 1 },
  );
});

test.run();
