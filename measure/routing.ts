/**
 * Routing: our policy beside its baselines.
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
  chooseOurs,
  chooseRoundRobin,
  chooseTwoRandom,
} from "./routing_policies.ts";

/** Speeds of the five kinds of accelerators, work a second. */
const SPEEDS = [10, 20, 40, 60, 80];

/** Ms there and back: within a place, within a region, and far. */
const ROUND_TRIPS_MS = [0.5, 1.5, 50];

/** The policies by name. */
export const POLICIES: Readonly<Record<string, Policy>> = {
  "ours": chooseOurs,
  "round-robin": chooseRoundRobin,
  "least reported": chooseLeastReported,
  "two random": chooseTwoRandom,
  "by speed": chooseBySpeed,
};

/** Makes engines of mixed kinds, or of one. */
export function makeEngines(count: number, mixed: boolean): ModelEngine[] {
  const random = createRandomSource(7);
  return Array.from({ length: count }, (_v, at) => ({
    name: `engine-${at}`,
    speedPerS: mixed ? SPEEDS[at % SPEEDS.length] : SPEEDS[2],
    roundTripMs: mixed ? ROUND_TRIPS_MS[random.integer(0, 1)] : 0.5,
  }));
}

interface Case {
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

function makeCases(): Case[] {
  const mixed = makeEngines(40, true);
  const uniform = makeEngines(40, false);
  const today = { entries: 11, requests: 200_000, load: 0.85 };
  const slow = mixed.map((engine, at) => ({
    ...engine,
    realSpeedPerS: at % 10 === 4 ? engine.speedPerS / 2 : engine.speedPerS,
  }));
  return [
    { ...today, name: "40 mixed", engines: mixed, policies: ALL_POLICIES },
    { ...today, name: "40 uniform", engines: uniform, policies: ALL_POLICIES },
    {
      ...today,
      name: "40 mixed, unequal entries",
      engines: mixed,
      policies: BEST_POLICIES,
      skew: 1,
    },
    {
      ...today,
      name: "40 mixed, 4 at half speed",
      engines: slow,
      policies: BEST_POLICIES,
    },
    {
      ...today,
      name: "40 mixed",
      engines: mixed,
      load: 0.97,
      policies: BEST_POLICIES,
    },
    {
      ...today,
      name: "40 uniform",
      engines: uniform,
      load: 0.97,
      policies: ["ours", "two random", "round-robin"],
    },
    {
      ...today,
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

/** Measures the routing policies. */
export function measureRouting(): void {
  printTable(
    makeCases().flatMap((one) =>
      one.policies.map((name) => runCase(one, name))
    ),
  );
  printTable([40, 600].map((count) => measureDecision(count)));
}

function runCase(one: Case, policyName: string): TableRow {
  const result = runRoutingModel({
    ...one,
    policy: POLICIES[policyName],
    seed: 1,
    reportLagMs: 500,
    reportIntervalMs: 250,
  });
  return {
    case: one.name,
    load: one.load,
    policy: policyName,
    "p50 ms": result.p50Ms.toFixed(1),
    "p99 ms": result.p99Ms.toFixed(1),
    "of the bound": result.throughputShare.toFixed(3),
  };
}

function measureDecision(count: number): TableRow {
  const random = createRandomSource(3);
  // Written out, not spread: a spread object is slow to read in this engine.
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
  for (let round = 0; round < 2_000; round++) chooseOurs(views, context);
  const startedMs = performance.now();
  for (let round = 0; round < rounds; round++) chooseOurs(views, context);
  const perDecision = ((performance.now() - startedMs) / rounds) * 1_000;
  return { engines: count, "microseconds a decision": perDecision.toFixed(2) };
}
