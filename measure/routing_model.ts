/**
 * Discrete-event simulation of routing: several entries send requests to engines
 * that divide their speed among the requests in progress. It calls the pure
 * functions that make the routing decisions in production.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import TinyQueue from "tinyqueue";
import {
  createRandomSource,
  type RandomSource,
} from "../proof/random_source.ts";
import {
  computeEntryIntervals,
  computeIntervalShares,
  type UpstreamView,
} from "../src/routing/index.ts";

/** A simulated engine. */
export interface ModelEngine {
  readonly name: string;
  /** Work per second when enough requests run to use the full speed. */
  readonly speedPerS: number;
  /** Round-trip time between an entry and the engine, in ms. */
  readonly roundTripMs: number;
  /** Actual speed, where it differs from the declared one. */
  readonly realSpeedPerS?: number;
}

/** An upstream as an entry sees it, with delayed load reports for baselines. */
export interface ModelView extends UpstreamView {
  /** Requests of all entries at the engine, by the last report. */
  readonly reportedLoad: number;
}

/** Chooses an upstream; `entry` and `count` are for round-robin policies. */
export type Policy = (
  views: readonly ModelView[],
  context: {
    nowMs: number;
    random: RandomSource;
    entry: number;
    count: number;
  },
) => ModelView | undefined;

/** Options of {@link runRoutingModel}. */
export interface RoutingModelOptions {
  readonly engines: readonly ModelEngine[];
  readonly entries: number;
  /** Offered load as a share of the total speed of all engines. */
  readonly load: number;
  readonly policy: Policy;
  readonly seed: number;
  readonly requests: number;
  /** Delay of load reports, in ms. */
  readonly reportLagMs: number;
  /** Time between two load reports, in ms. */
  readonly reportIntervalMs: number;
  /** Zipf exponent of the entries' demand: 0 is equal, 1 gives 1, 1/2, 1/3. */
  readonly skew?: number;
}

/** Result of a simulation. */
export interface RoutingModelResult {
  readonly p50Ms: number;
  readonly p99Ms: number;
  /** Work per second as a share of the upper bound, the sum of all speeds. */
  readonly throughputShare: number;
}

/** Concurrent requests at which an engine reaches its full speed. */
const FULL_BATCH = 4;

/** Mean work of a request, in units of work. */
const MEAN_WORK = 1;

interface Job {
  readonly endWork: number;
  readonly entry: number;
  readonly startedMs: number;
}

interface EngineState {
  readonly engine: ModelEngine;
  readonly jobs: TinyQueue<Job>;
  /** Cumulative work that a request running since the start has received. */
  perJobWork: number;
  updatedMs: number;
  /** Incremented on each change, so that outdated end events are ignored. */
  version: number;
  /** Recent load samples, the newest last. */
  history: { atMs: number; load: number }[];
}

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] };

interface ModelEvent {
  readonly atMs: number;
  readonly run: () => void;
}

function getRealSpeedPerS(engine: ModelEngine): number {
  return engine.realSpeedPerS ?? engine.speedPerS;
}

/** Runs the simulation. */
export function runRoutingModel(
  options: RoutingModelOptions,
): RoutingModelResult {
  const { engines, entries, policy, requests, reportLagMs } = options;
  const random = createRandomSource(options.seed);
  const events = new TinyQueue<ModelEvent>([], (a, b) => a.atMs - b.atMs);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const totalPerS = engines.reduce(
    (sum, one) => sum + getRealSpeedPerS(one),
    0,
  );
  const { skew = 0 } = options;
  const weights = Array.from(
    { length: entries },
    (_v, at) => 1 / (at + 1) ** skew,
  );
  const weightSum = weights.reduce((sum, weight) => sum + weight, 0);
  const demand = weights.map(() => 0);
  const meanArrivalIntervalMs = (1_000 * MEAN_WORK) /
    (totalPerS * options.load);
  const states = engines.map((engine): EngineState => ({
    engine,
    jobs: new TinyQueue<Job>([], (a, b) => a.endWork - b.endWork),
    perJobWork: 0,
    updatedMs: 0,
    version: 0,
    history: [{ atMs: 0, load: 0 }],
  }));
  const views = Array.from(
    { length: entries },
    () =>
      engines.map((engine): Mutable<ModelView> => ({
        name: engine.name,
        speedPerS: engine.speedPerS,
        roundTripMs: engine.roundTripMs,
        inFlight: 0,
        share: 1 / entries,
        reportedLoad: 0,
        knownSinceMs: -1e9,
        ejectedUntilMs: 0,
        closed: false,
      })),
  );
  const index = new Map(engines.map((engine, at) => [engine.name, at]));
  let nowMs = 0;
  let started = 0;
  let ended = 0;
  let workDone = 0;
  const warmUpRequests = Math.floor(requests * 0.2);
  let measuredFromMs = 0;
  let measuredWork = 0;

  function getRatePerS(state: EngineState): number {
    const { length } = state.jobs;
    return getRealSpeedPerS(state.engine) / Math.max(FULL_BATCH, length);
  }

  function update(state: EngineState): void {
    const elapsedS = (nowMs - state.updatedMs) / 1_000;
    state.perJobWork += elapsedS * getRatePerS(state);
    state.updatedMs = nowMs;
  }

  function scheduleEnd(state: EngineState): void {
    state.version += 1;
    const { version } = state;
    const next = state.jobs.peek();
    if (!next) return;
    const remainingS = Math.max(0, next.endWork - state.perJobWork) /
      getRatePerS(state);
    events.push({
      atMs: nowMs + remainingS * 1_000,
      run: () => {
        if (state.version === version) endJob(state);
      },
    });
  }

  function endJob(state: EngineState): void {
    update(state);
    const job = state.jobs.pop();
    if (job) completeJob(state, job);
    scheduleEnd(state);
  }

  function completeJob(state: EngineState, job: Job): void {
    const view = views[job.entry][index.get(state.engine.name) ?? 0];
    view.inFlight -= 1;
    ended += 1;
    if (ended === warmUpRequests) {
      measuredFromMs = nowMs;
      measuredWork = workDone;
    }
    if (ended <= warmUpRequests) return;
    const latencyMs = nowMs - job.startedMs + state.engine.roundTripMs;
    histogram.recordValue(Math.max(1, Math.round(latencyMs * 10)));
  }

  function pickEntry(): number {
    let remaining = random.number() * weightSum;
    const found = weights.findIndex((weight) => (remaining -= weight) <= 0);
    return Math.max(0, found);
  }

  // Once a second the control plane assigns each entry its shares of the engines,
  // by its recent demand.
  function setShares(): void {
    const loads = demand.map((count, at) => ({
      entry: String(at).padStart(4, "0"),
      demandPerS: count,
    }));
    const intervals = computeEntryIntervals(loads);
    for (const [at, { entry }] of loads.entries()) {
      const shares = computeIntervalShares(engines, intervals[entry]);
      views[at].forEach((view, engineIndex) =>
        view.share = shares[engineIndex]
      );
      demand[at] *= 0.6;
    }
    if (ended < requests) events.push({ atMs: nowMs + 1_000, run: setShares });
  }

  function handleArrival(): void {
    if (started >= requests) return;
    started += 1;
    const entry = pickEntry();
    demand[entry] += 1;
    const chosen = policy(views[entry], {
      nowMs,
      random,
      entry,
      count: started,
    });
    const state = states[index.get(chosen?.name ?? "") ?? 0];
    const work = random.exponential(MEAN_WORK);
    workDone += work;
    update(state);
    state.jobs.push({
      endWork: state.perJobWork + work,
      entry,
      startedMs: nowMs,
    });
    views[entry][index.get(state.engine.name) ?? 0].inFlight += 1;
    scheduleEnd(state);
    events.push({
      atMs: nowMs + random.exponential(meanArrivalIntervalMs),
      run: handleArrival,
    });
  }

  // Every entry receives each engine's load, delayed by `reportLagMs`.
  function reportLoads(): void {
    for (const [at, state] of states.entries()) {
      state.history.push({ atMs: nowMs, load: state.jobs.length });
      const reported = state.history.findLast((one) =>
        one.atMs <= nowMs - reportLagMs
      );
      if (state.history.length > 64) state.history.shift();
      if (!reported) continue;
      for (const entryViews of views) {
        const view = entryViews[at];
        view.reportedLoad = reported.load;
      }
    }
    if (ended < requests) {
      events.push({ atMs: nowMs + options.reportIntervalMs, run: reportLoads });
    }
  }

  setShares();
  handleArrival();
  reportLoads();
  while (ended < requests) {
    const event = events.pop();
    if (!event) break;
    nowMs = event.atMs;
    event.run();
    if (started >= requests && ended >= requests * 0.98) break;
  }
  const elapsedS = (nowMs - measuredFromMs) / 1_000;
  return {
    p50Ms: histogram.getValueAtPercentile(50) / 10,
    p99Ms: histogram.getValueAtPercentile(99) / 10,
    throughputShare: (workDone - measuredWork) / elapsedS / totalPerS,
  };
}
