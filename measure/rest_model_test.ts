import { test } from "uvu";
import * as assert from "uvu/assert";
import { type BackOffScenario, simulateBackOffs } from "./rest_model.ts";

const MEAN_RUN_MS = 85.7;

/** Gateways ignore back-offs and keep sending to engines that reject requests. */
const IGNORED = {
  respectsBackOffs: false,
  discountsStaleLoads: false,
  throttles: false,
};

/** Gateways respect back-offs, without slow start, load ageing or throttling. */
const RESPECTED = {
  respectsBackOffs: true,
  slowStart: { jitterShare: 0, initialWindow: Infinity },
  discountsStaleLoads: false,
  throttles: false,
};

const ALL_MECHANISMS = {
  respectsBackOffs: true,
  discountsStaleLoads: true,
  throttles: true,
};

function simulate(
  policy: typeof IGNORED | typeof RESPECTED,
  { gateways, share }: { readonly gateways: number; readonly share: number },
) {
  const fleet = { gateways, engines: 12, slots: 6, queue: 4 };
  const load: BackOffScenario = {
    ...fleet,
    meanRunMs: MEAN_RUN_MS,
    askedPerS: share * fleet.engines * fleet.slots * 1_000 / MEAN_RUN_MS,
    durationMs: 8_000,
    backOffMs: 3_000,
    seed: 1,
    ...policy,
  };
  const { asked, inTime, rejected, duringBackOff, backedOffShare } =
    simulateBackOffs(
      load,
    );
  return {
    inTime: inTime / asked,
    rejected: rejected / asked,
    duringBackOff,
    backedOffShare,
  };
}

test("no request arrives during a back-off, whatever the load", () => {
  for (const gateways of [11, 64]) {
    for (const share of [0.8, 1.6]) {
      assert.ok(simulate(IGNORED, { gateways, share }).duringBackOff > 0);
      assert.is(simulate(ALL_MECHANISMS, { gateways, share }).duringBackOff, 0);
    }
  }
});

test("below capacity slow start, load ageing and throttling halve the rejections", () => {
  const load = { gateways: 64, share: 0.8 };
  const respected = simulate(RESPECTED, load);
  const all = simulate(ALL_MECHANISMS, load);
  assert.ok(all.rejected < respected.rejected / 2);
  assert.ok(all.inTime >= respected.inTime);
});

test("above capacity fewer upstreams are backed off, and more callers are served in time", () => {
  const load = { gateways: 11, share: 1.2 };
  const respected = simulate(RESPECTED, load);
  const all = simulate(ALL_MECHANISMS, load);
  assert.ok(all.inTime > 2 * respected.inTime);
  assert.ok(all.backedOffShare < respected.backedOffShare);
  assert.ok(all.rejected < respected.rejected);
});

test.run();
