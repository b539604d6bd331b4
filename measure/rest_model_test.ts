import { test } from "uvu";
import * as assert from "uvu/assert";
import { playRests, type RestLoad } from "./rest_model.ts";

const WORK_MS = 85.7;

/** What gateways did before: whoever turns requests away is asked again at once. */
const BEFORE = { heedsRests: false, weighsNews: false, throttles: false };

/** Rests are heeded, and nothing else is done about them. */
const HEEDED = {
  heedsRests: true,
  comeBack: { spreadShare: 0, firstWindow: Infinity },
  weighsNews: false,
  throttles: false,
};

const NOW = { heedsRests: true, weighsNews: true, throttles: true };

function play(
  policy: typeof BEFORE | typeof HEEDED,
  { gateways, share }: { readonly gateways: number; readonly share: number },
) {
  const fleet = { gateways, engines: 12, slots: 6, queue: 4 };
  const load: RestLoad = {
    ...fleet,
    workMs: WORK_MS,
    askedPerS: share * fleet.engines * fleet.slots * 1_000 / WORK_MS,
    spanMs: 8_000,
    backOffMs: 3_000,
    seed: 1,
    ...policy,
  };
  const { asked, inTime, turnedAway, intruded, backedOffShare } = playRests(
    load,
  );
  return {
    inTime: inTime / asked,
    turnedAway: turnedAway / asked,
    intruded,
    backedOffShare,
  };
}

test("no request arrives within a rest, whatever the load", () => {
  for (const gateways of [11, 64]) {
    for (const share of [0.8, 1.6]) {
      assert.ok(play(BEFORE, { gateways, share }).intruded > 0);
      assert.is(play(NOW, { gateways, share }).intruded, 0);
    }
  }
});

test("below what upstreams can bear nearly nobody is turned away", () => {
  const load = { gateways: 64, share: 0.8 };
  const heeded = play(HEEDED, load);
  const now = play(NOW, load);
  assert.ok(now.turnedAway < heeded.turnedAway / 2);
  assert.ok(now.inTime >= heeded.inTime);
});

test("above it fewer upstreams rest, and more callers are served in time", () => {
  const load = { gateways: 11, share: 1.2 };
  const heeded = play(HEEDED, load);
  const now = play(NOW, load);
  assert.ok(now.inTime > 2 * heeded.inTime);
  assert.ok(now.backedOffShare < heeded.backedOffShare);
  assert.ok(now.turnedAway < heeded.turnedAway);
});

test.run();
