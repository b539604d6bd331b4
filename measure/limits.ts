/**
 * Compares ways of dividing an upstream's rate limit among gateways.
 *
 * @module
 */

import { createLimitCoordinator } from "../src/fleet/create_limit_coordinator.ts";
import {
  divideEvenly,
  type DivideLimit,
  grantOnRequest,
  leaseByDemand,
  simulateRateLimit,
} from "./limits_model.ts";
import { printTable, type TableRow } from "./print_table.ts";

const DIVISIONS: Readonly<Record<string, DivideLimit>> = {
  "equal shares": divideEvenly,
  "leases by demand": leaseByDemand,
  "grants on request": grantOnRequest,
};

const GATEWAYS = [11, 100, 330];

const LIMITS_PER_S = [0.2, 0.5, 4.6, 50];

/** Demand as a multiple of the limit, and the share of gateways that get most of it. */
const DEMANDS = [
  { name: "3, even", demand: 3, busyShare: 1 },
  { name: "3, a tenth of them", demand: 3, busyShare: 0.1 },
  { name: "0.8, even", demand: 0.8, busyShare: 1 },
];

const SEEDS = [1, 2, 3];

/** Number of limits in force, and of grants that are timed. */
const COST_LIMITS = 60;
const COST_GRANTS = 200_000;

const MS_PER_S = 1_000;

/**
 * Prints how closely each way keeps to the limit, how much of it is used, and what
 * grants cost the leader in time and bytes.
 */
export function measureLimits(): void {
  const rows = GATEWAYS.flatMap((gateways) =>
    LIMITS_PER_S.flatMap((limitPerS) =>
      DEMANDS.flatMap((demand) =>
        Object.entries(DIVISIONS).map(([way, divide]) =>
          measureDivision({ gateways, limitPerS, ...demand, way, divide })
        )
      )
    )
  );
  printTable(rows);
  printTable([measureCost()]);
}

function measureCost(): TableRow {
  const coordinator = createLimitCoordinator({
    publish: () => {},
    firstVersion: Date.now(),
    now: () => performance.now(),
    log: () => {},
  });
  const engineIds = Array.from(
    { length: COST_LIMITS },
    (_, at) => `i-00000000${at}@1796282778581`,
  );
  engineIds.forEach((engineId) =>
    coordinator.take({ engineId, limitPerS: 4.6 })
  );
  const startedMs = performance.now();
  for (let at = 0; at < COST_GRANTS; at++) {
    coordinator.grant({ [engineIds[at % COST_LIMITS]]: 1 });
  }
  const tookMs = performance.now() - startedMs;
  const askedMs = performance.now();
  const [engineId] = engineIds;
  const request = { type: "grantRequest", counts: { [engineId]: 1 }, askedMs };
  const grants = coordinator.grant({ [engineId]: 1 });
  return {
    limits: COST_LIMITS,
    "microseconds a grant": (tookMs * MS_PER_S / COST_GRANTS).toFixed(2),
    "bytes of a request": JSON.stringify(request).length,
    "bytes of an answer":
      JSON.stringify({ type: "grants", grants, askedMs }).length,
    "bytes of all limits": JSON.stringify(coordinator.list()).length,
  };
}

function measureDivision(options: {
  readonly gateways: number;
  readonly limitPerS: number;
  readonly name: string;
  readonly demand: number;
  readonly busyShare: number;
  readonly way: string;
  readonly divide: DivideLimit;
}): TableRow {
  const { gateways, limitPerS, name, way } = options;
  const results = SEEDS.map((seed) => simulateRateLimit({ ...options, seed }));
  const mean = (get: (one: typeof results[number]) => number) =>
    results.reduce((sum, one) => sum + get(one), 0) / results.length;
  return {
    gateways,
    limit: limitPerS,
    demand: name,
    way,
    "limit in 4 s": (4 * limitPerS).toFixed(1),
    "most in 4 s": Math.max(...results.map((one) => one.mostInWindow)),
    used: mean((one) => one.usedShare).toFixed(2),
    "messages a second": mean((one) => one.messagesPerS).toFixed(1),
  };
}
