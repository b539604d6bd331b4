/**
 * Measures back-offs under a load near or over the capacity of the upstreams: answers
 * and rejections by how gateways respect back-offs and resume after them.
 *
 * @module
 */

import type { SlowStart } from "../src/gateway/create_engine_notices.ts";
import { printTable, type TableRow } from "./print_table.ts";
import { type BackOffScenario, simulateBackOffs } from "./rest_model.ts";

/** How gateways handle back-offs. */
type BackOffPolicy = Pick<
  BackOffScenario,
  "respectsBackOffs" | "slowStart" | "discountsStaleLoads" | "throttles"
>;

function makeBackOffPolicy(slowStart: SlowStart): BackOffPolicy {
  return {
    respectsBackOffs: true,
    slowStart,
    discountsStaleLoads: false,
    throttles: false,
  };
}

/** Compared policies; each adds one mechanism to an earlier one. */
const POLICIES: Readonly<Record<string, BackOffPolicy>> = {
  "not heeded": {
    respectsBackOffs: false,
    discountsStaleLoads: false,
    throttles: false,
  },
  heeded: makeBackOffPolicy({ jitterShare: 0, initialWindow: Infinity }),
  "back spread": makeBackOffPolicy({
    jitterShare: 0.1,
    initialWindow: Infinity,
  }),
  "back one first": makeBackOffPolicy({ jitterShare: 0, initialWindow: 1 }),
  "back both": makeBackOffPolicy({ jitterShare: 0.1, initialWindow: 1 }),
  "and news by age": {
    respectsBackOffs: true,
    discountsStaleLoads: true,
    throttles: false,
  },
  "and throttled": {
    respectsBackOffs: true,
    discountsStaleLoads: true,
    throttles: true,
  },
};

/** Loads as shares of the engines' capacity. */
const LOADS = [0.8, 1.2, 1.6];

const FLEETS = [
  { gateways: 11, engines: 3, slots: 6, queue: 4 },
  { gateways: 11, engines: 12, slots: 6, queue: 4 },
  { gateways: 64, engines: 12, slots: 6, queue: 4 },
];

const MEAN_RUN_MS = 85.7;

const SEEDS = [1, 2, 3];

/** Prints the outcome for callers and engines by fleet, load and policy. */
export function measureRest(): void {
  const rows = FLEETS.flatMap((fleet) =>
    LOADS.flatMap((share) =>
      Object.entries(POLICIES).map(([name, policy]) =>
        measurePolicy({ fleet, share, name, policy })
      )
    )
  );
  printTable(rows);
}

function measurePolicy(options: {
  readonly fleet: typeof FLEETS[number];
  readonly share: number;
  readonly name: string;
  readonly policy: BackOffPolicy;
}): TableRow {
  const { fleet, share, name, policy } = options;
  const capacityPerS = fleet.engines * fleet.slots * 1_000 / MEAN_RUN_MS;
  const results = SEEDS.map((seed) =>
    simulateBackOffs({
      ...fleet,
      meanRunMs: MEAN_RUN_MS,
      askedPerS: capacityPerS * share,
      durationMs: 20_000,
      backOffMs: 3_000,
      ...policy,
      seed,
    })
  );
  const mean = (get: (one: typeof results[number]) => number) =>
    results.reduce((sum, one) => sum + get(one), 0) / results.length;
  return {
    gateways: fleet.gateways,
    engines: fleet.engines,
    load: share,
    way: name,
    "in time": mean((one) => one.inTime / one.asked).toFixed(3),
    served: mean((one) => one.served / one.asked).toFixed(3),
    "turned away a request": mean((one) => one.rejected / one.asked)
      .toFixed(3),
    "within rests": mean((one) => one.duringBackOff / one.asked).toFixed(3),
    resting: mean((one) => one.backedOffShare).toFixed(2),
    working: mean((one) => one.busyShare).toFixed(2),
  };
}
