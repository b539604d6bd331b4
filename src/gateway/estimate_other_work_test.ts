import { test } from "uvu";
import * as assert from "uvu/assert";
import { simulatePathChoice } from "../../measure/choice_model.ts";
import { estimateOtherWork } from "./estimate_other_work.ts";

const LOAD = { gateways: 200, spanMs: 8_000, seed: 7 };

test("at 300 streams a second engines refuse almost none; 0.3 per stream where gateways use reported loads alone", () => {
  const baseline = simulatePathChoice({
    ...LOAD,
    askedPerS: 300,
    estimatesOthers: false,
  });
  assert.ok(
    baseline.refusals > 0.2 * baseline.asked,
    `${baseline.refusals} with reported loads alone`,
  );
  const { asked, begun, refusals } = simulatePathChoice({
    ...LOAD,
    askedPerS: 300,
    estimatesOthers: true,
  });
  assert.ok(refusals < 0.01 * asked, `${refusals} of ${asked}`);
  assert.is(begun, asked);
});

test("at 380 a second nearly all start; one in twenty doesn't with reported loads alone", () => {
  const baseline = simulatePathChoice({
    ...LOAD,
    askedPerS: 380,
    estimatesOthers: false,
  });
  assert.ok(
    baseline.begun < 0.96 * baseline.asked,
    `${baseline.begun} with reported loads alone`,
  );
  const { asked, begun } = simulatePathChoice({
    ...LOAD,
    askedPerS: 380,
    estimatesOthers: true,
  });
  assert.ok(begun > 0.98 * asked, `${begun} of ${asked}`);
});

test("all requests are counted on demand, whatever is drawn, and two of them simulated", () => {
  let choices = 0;
  const { begun } = estimateOtherWork({
    startedRequests: 40,
    endedShare: 0,
    usualTokens: 100,
    countsAll: true,
    choose() {
      choices += 1;
      return [{ engineId: "a", fromLayer: 0, toLayer: 8 }];
    },
    random: () => 0,
  });
  assert.equal(begun, { a: { tokens: 4_000, requests: 40 } });
  assert.is(choices, 2);
});

test("other gateways' requests are simulated one after another by the same rule", () => {
  const expected = estimateOtherWork({
    startedRequests: 40,
    endedShare: 0.25,
    usualTokens: 100,
    choose: ({ begun }) => {
      const load = (id: string) => begun[id]?.requests ?? 0;
      const engineId = load("a") <= load("b") ? "a" : "b";
      return [{ engineId, fromLayer: 0, toLayer: 8 }];
    },
    random: () => 1,
  });
  assert.equal(expected, {
    endedShare: 0.25,
    begun: {
      a: { tokens: 2_000, requests: 20 },
      b: { tokens: 2_000, requests: 20 },
    },
  });
});

test("where no request went before, no work is estimated", () => {
  const { begun } = estimateOtherWork({
    startedRequests: 40,
    endedShare: 0,
    usualTokens: 100,
    choose: () => [{ engineId: "a", fromLayer: 0, toLayer: 8 }],
    random: () => 0,
  });
  assert.equal(begun, {});
});

test.run();
