import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  divideEvenly,
  grantOnRequest,
  leaseByDemand,
  playLimit,
} from "./limits_model.ts";

const LOAD = { limitPerS: 4.6, demand: 3, seed: 1 };

/** What four seconds of the limit hold, and what may be spent at once. */
const MOST_IN_WINDOW = 4 * 4.6 + 0.4 * 4.6 + 1;

for (const gateways of [11, 100, 330]) {
  for (const busyShare of [1, 0.1]) {
    test(`grants keep to a limit and use it up: ${gateways} gateways, ${busyShare} busy`, () => {
      const load = { ...LOAD, gateways, busyShare };
      const granted = playLimit({ ...load, divide: grantOnRequest });
      assert.ok(granted.mostInWindow <= MOST_IN_WINDOW);
      // 0.97; equal shares 0.21 to 0.73, leases by demand 0.01 to 0.72.
      assert.ok(granted.usedShare > 0.9, String(granted.usedShare));
      for (const divide of [divideEvenly, leaseByDemand]) {
        const other = playLimit({ ...load, divide });
        assert.ok(other.usedShare < granted.usedShare);
      }
    });
  }
}

test.run();
