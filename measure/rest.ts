/**
 * Upstreams that ask for rest under a load over their room: what callers get and
 * what engines turn away, by how gateways heed rests and come back from them.
 *
 * @module
 */

import type { ComeBack } from "../src/gateway/create_engine_notices.ts";
import { printTable, type TableRow } from "./print_table.ts";
import { playRests, type RestLoad } from "./rest_model.ts";

/** What gateways make of rests. */
type RestPolicy = Pick<
  RestLoad,
  "heedsRests" | "comeBack" | "weighsNews" | "throttles"
>;

function makeHeeding(comeBack: ComeBack): RestPolicy {
  return { heedsRests: true, comeBack, weighsNews: false, throttles: false };
}

/** What gateways do, each row with one thing more than some row before. */
const WAYS: Readonly<Record<string, RestPolicy>> = {
  "not heeded": { heedsRests: false, weighsNews: false, throttles: false },
  heeded: makeHeeding({ spreadShare: 0, firstWindow: Infinity }),
  "back spread": makeHeeding({ spreadShare: 0.1, firstWindow: Infinity }),
  "back one first": makeHeeding({ spreadShare: 0, firstWindow: 1 }),
  "back both": makeHeeding({ spreadShare: 0.1, firstWindow: 1 }),
  "and news by age": { heedsRests: true, weighsNews: true, throttles: false },
  "and throttled": { heedsRests: true, weighsNews: true, throttles: true },
};

/** Loads as shares of what the engines can bear. */
const LOADS = [0.8, 1.2, 1.6];

const FLEETS = [
  { gateways: 11, engines: 3, slots: 6, queue: 4 },
  { gateways: 11, engines: 12, slots: 6, queue: 4 },
  { gateways: 64, engines: 12, slots: 6, queue: 4 },
];

const WORK_MS = 85.7;

const SEEDS = [1, 2, 3];

/** Prints what callers and engines saw. */
export function measureRest(): void {
  const rows = FLEETS.flatMap((fleet) =>
    LOADS.flatMap((share) =>
      Object.entries(WAYS).map(([name, policy]) =>
        playWay({ fleet, share, name, policy })
      )
    )
  );
  printTable(rows);
}

function playWay(options: {
  readonly fleet: typeof FLEETS[number];
  readonly share: number;
  readonly name: string;
  readonly policy: RestPolicy;
}): TableRow {
  const { fleet, share, name, policy } = options;
  const roomPerS = fleet.engines * fleet.slots * 1_000 / WORK_MS;
  const results = SEEDS.map((seed) =>
    playRests({
      ...fleet,
      workMs: WORK_MS,
      askedPerS: roomPerS * share,
      spanMs: 20_000,
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
    "turned away a request": mean((one) => one.turnedAway / one.asked)
      .toFixed(3),
    "within rests": mean((one) => one.intruded / one.asked).toFixed(3),
    resting: mean((one) => one.backedOffShare).toFixed(2),
    working: mean((one) => one.busyShare).toFixed(2),
  };
}
