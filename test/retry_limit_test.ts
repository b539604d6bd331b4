/**
 * The limit on the retries of all gateways together, over the real retry budgets, while
 * processes and connections fail in any order; and how much of it gateways can use.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type RetryFleetFailure,
  type RetryFleetOptions,
  runRetryFleet,
} from "./support/model_retry_fleet.ts";

const FAILURES: readonly RetryFleetFailure[] = [
  "kill",
  "kill",
  "stopInTurn",
  "cut",
  "freeze",
  "leaderChange",
  "grow",
  "shrink",
];

/** Limits and load of fleets of three sizes. */
const FLEETS = [
  { gateways: 11, requestsPerS: 45, extra: 206 },
  { gateways: 64, requestsPerS: 190, extra: 312 },
  { gateways: 200, requestsPerS: 240, extra: 584 },
  { gateways: 330, requestsPerS: 2_700, extra: 1_000 },
];

function makeOptions(
  fleet: typeof FLEETS[number],
  seed: number,
): RetryFleetOptions {
  return {
    ...fleet,
    seed,
    ratio: 0.2,
    windowMs: 10_000,
    durationMs: 40_000,
  };
}

for (const fleet of FLEETS) {
  for (const seed of [1, 2, 3, 4]) {
    test(`${fleet.gateways} gateways that are killed, cut off, frozen, added and removed keep the retry limit with seed ${seed}`, async () => {
      // Retries are needed now and then, so that unused ones add up in between.
      const needs = (nowMs: number) => nowMs % 13_000 > 6_000;
      const { mostBeyondLimit, retries, events } = await runRetryFleet({
        ...makeOptions(fleet, seed),
        failures: FAILURES,
        failureIntervalMs: 1_500,
        needs,
      });
      assert.ok(retries > 100);
      const trace = events.join("; ");
      assert.ok(mostBeyondLimit <= 0, `${mostBeyondLimit} beyond: ${trace}`);
    });
  }
}

for (const fleet of FLEETS) {
  test(`a tenth of ${fleet.gateways} gateways can use nine tenths of the retry limit`, async () => {
    const { highestUse, mostBeyondLimit } = await runRetryFleet({
      ...makeOptions(fleet, 5),
      needs: (nowMs, at) => nowMs > 20_000 && at < fleet.gateways / 10,
    });
    assert.ok(highestUse >= 0.9, `${highestUse} of the limit`);
    assert.ok(mostBeyondLimit <= 0, `${mostBeyondLimit} beyond`);
  });
}

test.run();
