/**
 * Compares the routing policy with baseline policies in a simulation.
 *
 * @module
 */

import { createRandomSource } from "../proof/random_source.ts";
import { printTable, type TableRow } from "./print_table.ts";
import {
  type ModelEngine,
  type Policy,
  runRoutingModel,
} from "./routing_model.ts";
import {
  chooseBySpeed,
  chooseLeastReported,
  chooseProduction,
  chooseRoundRobin,
  chooseTwoRandom,
} from "./routing_policies.ts";

/** Speeds of the five kinds of accelerators, in units of work per second. */
const ACCELERATOR_SPEEDS_PER_S = [10, 20, 40, 60, 80];

/** Round-trip times in ms: within a place, within a region, and far away. */
const ROUND_TRIPS_MS = [0.5, 1.5, 50];

/** The compared policies by name. */
export const POLICIES: Readonly<Record<string, Policy>> = {
  "ours": chooseProduction,
  "round-robin": chooseRoundRobin,
  "least reported": chooseLeastReported,
  "two random": chooseTwoRandom,
  "by speed": chooseBySpeed,
};

/** Creates engines of mixed kinds, or all of one kind. */
export function makeEngines(count: number, mixed: boolean): ModelEngine[] {
  const random = createRandomSource(7);
  return Array.from({ length: count }, (_v, at) => ({
    name: `engine-${at}`,
    speedPerS: mixed
      ? ACCELERATOR_SPEEDS_PER_S[at % ACCELERATOR_SPEEDS_PER_S.length]
      : ACCELERATOR_SPEEDS_PER_S[2],
    roundTripMs: mixed ? ROUND_TRIPS_MS[random.integer(0, 1)] : 0.5,
  }));
}

interface RoutingCase {
  readonly name: string;
  readonly engines: readonly ModelEngine[];
  readonly entries: number;
  readonly requests: number;
  readonly load: number;
  readonly policies: readonly string[];
  readonly skew?: number;
}

const ALL_POLICIES = Object.keys(POLICIES);
const BEST_POLICIES = ["ours", "two random", "by speed"];

function makeCases(): RoutingCase[] {
  const mixed = makeEngines(40, true);
  const uniform = makeEngines(40, false);
  const currentFleet = { entries: 11, requests: 200_000, load: 0.85 };
  const slow = mixed.map((engine, at) => ({
    ...engine,
    realSpeedPerS: at % 10 === 4 ? engine.speedPerS / 2 : engine.speedPerS,
  }));
  return [
    {
      ...currentFleet,
      name: "40 mixed",
      engines: mixed,
      policies: ALL_POLICIES,
    },
    {
      ...currentFleet,
      name: "40 uniform",
      engines: uniform,
      policies: ALL_POLICIES,
    },
    {
      ...currentFleet,
      name: "40 mixed, unequal entries",
      engines: mixed,
      policies: BEST_POLICIES,
      skew: 1,
    },
    {
      ...currentFleet,
      name: "40 mixed, 4 at half speed",
      engines: slow,
      policies: BEST_POLICIES,
    },
    {
      ...currentFleet,
      name: "40 mixed",
      engines: mixed,
      load: 0.97,
      policies: BEST_POLICIES,
    },
    {
      ...currentFleet,
      name: "40 uniform",
      engines: uniform,
      load: 0.97,
      policies: ["ours", "two random", "round-robin"],
    },
    {
      ...currentFleet,
      name: "3 plain",
      engines: makeEngines(3, false),
      requests: 100_000,
      policies: ALL_POLICIES,
    },
    {
      name: "600 mixed, 330 entries",
      engines: makeEngines(600, true),
      entries: 330,
      requests: 200_000,
      load: 0.85,
      policies: BEST_POLICIES,
    },
  ];
}

/** Compares the routing policies and measures the time of a decision. */
export function measureRouting(): void {
  printTable(
    makeCases().flatMap((routingCase) =>
      routingCase.policies.map((name) => runCase(routingCase, name))
    ),
  );
  printTable([40, 600].map((count) => measureDecision(count)));
}

function runCase(routingCase: RoutingCase, policyName: string): TableRow {
  const result = runRoutingModel({
    ...routingCase,
    policy: POLICIES[policyName],
    seed: 1,
    reportLagMs: 500,
    reportIntervalMs: 250,
  });
  return {
    case: routingCase.name,
    load: routingCase.load,
    policy: policyName,
    "p50 ms": result.p50Ms.toFixed(1),
    "p99 ms": result.p99Ms.toFixed(1),
    "of the bound": result.throughputShare.toFixed(3),
  };
}

function measureDecision(count: number): TableRow {
  const random = createRandomSource(3);
  // Properties are listed one by one: V8 reads objects made by spread more slowly.
  const views = makeEngines(count, true).map((engine) => ({
    name: engine.name,
    speedPerS: engine.speedPerS,
    roundTripMs: engine.roundTripMs,
    inFlight: random.integer(0, 5),
    reportedLoad: 0,
    share: random.number(),
    knownSinceMs: -1e9,
    ejectedUntilMs: 0,
    closed: false,
  }));
  const rounds = 20_000;
  const context = { nowMs: 100, random, entry: 0, count: 0 };
  for (let round = 0; round < 2_000; round++) chooseProduction(views, context);
  const startedMs = performance.now();
  for (let round = 0; round < rounds; round++) chooseProduction(views, context);
  const perDecisionUs = ((performance.now() - startedMs) / rounds) * 1_000;
  return {
    engines: count,
    "microseconds a decision": perDecisionUs.toFixed(2),
  };
}
