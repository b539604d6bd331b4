import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  divideEvenly,
  grantOnRequest,
  leaseByDemand,
  simulateRateLimit,
} from "./limits_model.ts";

const LOAD = { limitPerS: 4.6, demand: 3, seed: 1 };

/** Four seconds at the limit, plus the burst that may be sent at once. */
const MOST_IN_WINDOW = 4 * 4.6 + 0.4 * 4.6 + 1;

for (const gateways of [11, 100, 330]) {
  for (const busyShare of [1, 0.1]) {
    test(`grants on request keep to the limit and use over 0.9 of it: ${gateways} gateways, ${busyShare} busy`, () => {
      const load = { ...LOAD, gateways, busyShare };
      const granted = simulateRateLimit({ ...load, divide: grantOnRequest });
      assert.ok(granted.mostInWindow <= MOST_IN_WINDOW);
      // Grants use 0.97 of the limit; equal shares 0.21 to 0.73, leases by demand
      // 0.01 to 0.72.
      assert.ok(granted.usedShare > 0.9, String(granted.usedShare));
      for (const divide of [divideEvenly, leaseByDemand]) {
        const other = simulateRateLimit({ ...load, divide });
        assert.ok(other.usedShare < granted.usedShare);
      }
    });
  }
}

test.run();
