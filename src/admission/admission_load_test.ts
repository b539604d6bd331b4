/**
 * Guards against less urgent requests that keep more urgent ones from being served in
 * time, and against ranks that starve. Simulates gateways that know the loads of the
 * engines half a second late, without a network.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { makeLayeredModel } from "../../test/support/make_layered_model.ts";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import { chooseCallPath } from "../gateway/choose_call_path.ts";
import { createEngineNotices } from "../gateway/create_engine_notices.ts";
import {
  createEngineTable,
  type EngineTable,
} from "../gateway/create_engine_table.ts";
import { createRankAdmission } from "../gateway/create_rank_admission.ts";
import type { Call, ServingContext } from "../gateway/types.ts";
import { createAdmissionTally } from "./create_admission_tally.ts";
import { createUrgentShortage } from "./create_urgent_shortage.ts";

const GATEWAYS = 20;
const ENGINES = 10;
const RANKS = [0, 1, 2];

/** Requests that fit into the memory of an engine. */
const ENGINE_REQUESTS = 100;

/** Tokens of each request. */
const TOKENS = 40;

const MODEL = makeLayeredModel({
  slots: 10 * ENGINE_REQUESTS,
  // An engine has 200 MB beside the layers.
  kvTokenBytes: 200e6 / (ENGINE_REQUESTS * TOKENS),
});

/** Durations, in ms, of requests: a full engine gets 10 new ones in half a second. */
const DURATION_MS = { least: 4_000, most: 6_000 };

/** Requests per ms that fit. */
const FITTING_PER_MS = ENGINES * ENGINE_REQUESTS / 5_000;

const REPORT_INTERVAL_MS = 500;

/** Age, in ms, of a report when it arrives. */
const REPORT_DELAY_MS = 200;

/** Step of the simulated time, in ms; an engine's refusal takes as long. */
const TICK_MS = 10;

/** Ms between two checks for free capacity, as in create_send_waits.ts. */
const POLL_MS = 20;

/** Ms for which a request waits for capacity: 0.6 of an objective of 500 ms. */
const MAX_WAIT_MS = 300;

/** Sends of one request, as in serve_stream_call.ts. */
const MAX_SENDS = 5;

/**
 * Ms at the start that are not counted: all engines fill at once, so streams also end
 * at once until their durations have spread them.
 */
const WARM_UP_MS = 12_000;

const SPAN_MS = 30_000;

const CALL = {
  service: "s",
  request: { promptTokens: TOKENS / 2, maxAnswerTokens: TOKENS / 2 },
} as Call;

/** A request, and whether it was started in time. */
interface SimulatedRequest {
  readonly rank: number;
  readonly atMs: number;
  isInTime: boolean;
}

/** A gateway with the requests that wait there; only the first one is attempted. */
interface SimulatedGateway {
  readonly table: EngineTable;
  readonly waiting: { readonly rank: number }[];
}

/** Load as a multiple of what fits, until a time. */
interface LoadPhase {
  readonly untilMs: number;
  readonly load: number;
}

/** Plays phases of load with as many requests of each of three ranks. */
function simulate(
  phases: readonly LoadPhase[],
  seed: number,
): readonly SimulatedRequest[] {
  const random = createRandomSource(seed);
  const clock = { ms: 0 };
  const now = () => clock.ms;
  const requests: SimulatedRequest[] = [];
  const timers = new Map<number, (() => void)[]>();
  const running = new Map<string, number>();
  const offered = { load: 0 };
  const ends = { count: 0, intervalMs: Infinity };
  const gateways = Array.from({ length: GATEWAYS }, () => makeGateway(now));
  const context = {
    random: random.number,
    metrics: { count: () => {} },
    rankTally: createAdmissionTally({ now }),
    urgentShortage: createUrgentShortage({ now }),
    notices: createEngineNotices({
      steadyNow: now,
      random: random.number,
      log: () => {},
      metrics: { count: () => {} },
    }),
    rateLimits: makeRateLimits({ now }),
    place: "p",
    now,
    getTable: () => ({ getService: () => ({ model: MODEL }) }),
    getGatewayCount: () => GATEWAYS,
    listGatewayPlaces: () => ["p"],
    rates: {
      getRequestsPerS: () => offered.load * FITTING_PER_MS * 1_000,
      getEndIntervalMs: () => ends.intervalMs,
    },
    upstreamTransport: { hasIdleConnection: () => true },
    getResumeQueue: () => ({ isWaitingForLink: () => false }),
  } as unknown as ServingContext;

  function after(delayMs: number, run: () => void): void {
    const ticks = Math.max(1, Math.round(delayMs / TICK_MS));
    const atMs = now() + ticks * TICK_MS;
    timers.set(atMs, [...timers.get(atMs) ?? [], run]);
  }

  function arrive(rank: number): void {
    const request: SimulatedRequest = { rank, atMs: now(), isInTime: false };
    requests.push(request);
    const { table, waiting } = random.pick(gateways);
    const admission = createRankAdmission(
      { service: "s", rank, rankCount: RANKS.length },
      context,
    );
    const ticket = { rank: admission.isExempt ? 0 : rank };
    const excluded = new Set<string>();

    function isFirst(): boolean {
      return waiting.includes(ticket)
        ? waiting[0] === ticket
        : waiting.every((other) => other.rank > ticket.rank);
    }

    function wait(): void {
      if (!waiting.includes(ticket)) {
        const at = waiting.findIndex((other) => other.rank > ticket.rank);
        waiting.splice(at < 0 ? waiting.length : at, 0, ticket);
      }
      after(POLL_MS, attempt);
    }

    function leave(): void {
      if (waiting.includes(ticket)) waiting.splice(waiting.indexOf(ticket), 1);
    }

    function attempt(): void {
      if (now() - request.atMs > MAX_WAIT_MS) return leave();
      if (!isFirst()) return wait();
      const choice = chooseCallPath(CALL, { ...context, engines: table }, {
        excluded,
        need: { tokens: TOKENS, isNew: true, maxShare: admission.maxShare },
      });
      if (choice.type === "full") admission.noteFull();
      if (choice.type !== "path") return wait();
      leave();
      const { path } = choice;
      const [{ engineId }] = path;
      const count = running.get(engineId) ?? 0;
      if (count >= ENGINE_REQUESTS) {
        table.noteFull(engineId);
        excluded.add(engineId);
        if (excluded.size < MAX_SENDS) after(TICK_MS, attempt);
        return;
      }
      request.isInTime = true;
      running.set(engineId, count + 1);
      table.addWork(path, { tokens: TOKENS });
      after(random.integer(DURATION_MS.least, DURATION_MS.most), () => {
        running.set(engineId, (running.get(engineId) ?? 0) - 1);
        ends.count += 1;
        table.removeWork(path, { tokens: TOKENS });
      });
    }

    attempt();
  }

  function report(): void {
    ends.intervalMs = REPORT_INTERVAL_MS / ends.count;
    ends.count = 0;
    const loads: Record<string, { tokens: number; requests: number }> = {};
    for (const { table } of gateways) {
      for (const [engineId, work] of Object.entries(table.getLoads())) {
        const sum = loads[engineId] ??= { tokens: 0, requests: 0 };
        sum.tokens += work.tokens;
        sum.requests += work.requests;
      }
    }
    after(
      REPORT_DELAY_MS,
      () => gateways.forEach(({ table }) => table.updateLoads(loads)),
    );
  }

  for (const { untilMs, load } of phases) {
    offered.load = load;
    const meanMs = RANKS.length / (load * FITTING_PER_MS);
    const nextMs = RANKS.map(() => now() + random.exponential(meanMs));
    for (; now() < untilMs; clock.ms += TICK_MS) {
      timers.get(now())?.forEach((run) => run());
      timers.delete(now());
      if (now() % REPORT_INTERVAL_MS === 0) report();
      for (const rank of RANKS) {
        for (
          ;
          nextMs[rank] <= now();
          nextMs[rank] += random.exponential(meanMs)
        ) {
          arrive(rank);
        }
      }
    }
  }
  return requests;
}

function makeGateway(now: () => number): SimulatedGateway {
  const table = createEngineTable({
    now,
    log: () => {},
    onRemoved: () => {},
  });
  const layers = { fromLayer: 0, toLayer: MODEL.layers };
  const engines = Array.from(
    { length: ENGINES },
    (_, at) =>
      makeEngineRecord(`e${at}`, { card: "card", slots: MODEL.slots, layers }),
  );
  table.applyUpdate({ type: "engines", isWhole: true, engines, gone: [] });
  return { table, waiting: [] };
}

/** Gets the share of requests that were in time, by rank. */
function getSharesInTime(requests: readonly SimulatedRequest[]): number[] {
  return RANKS.map((rank) => {
    const counted = requests.filter((one) =>
      one.rank === rank && one.atMs >= WARM_UP_MS
    );
    return counted.filter(({ isInTime }) => isInTime).length / counted.length;
  });
}

function playLoad(load: number, seed: number): number[] {
  return getSharesInTime(simulate([{ untilMs: SPAN_MS, load }], seed));
}

function getServed(load: number, shares: readonly number[]): number {
  return load * shares.reduce((sum, share) => sum + share, 0) / RANKS.length;
}

for (const seed of [1, 2]) {
  const half = playLoad(0.5, seed);
  const full = playLoad(1, seed);
  const twice = playLoad(2, seed);
  const text = JSON.stringify({ half, full, twice });

  test(`under half of the load that fits, all ranks are in time (seed ${seed})`, () => {
    assert.equal(half, [1, 1, 1], text);
  });

  test(`the most urgent requests are in time while they alone fit (seed ${seed})`, () => {
    assert.ok(full[0] >= 0.99, text);
    assert.ok(twice[0] >= 0.94, text);
  });

  test(`no rank does better than a more urgent one (seed ${seed})`, () => {
    for (const [first, second, third] of [full, twice]) {
      assert.ok(second <= first + 0.05 && third <= second + 0.05, text);
    }
  });

  test(`the least urgent rank keeps a tenth under twice the load (seed ${seed})`, () => {
    assert.ok(twice[2] >= 0.1, text);
  });

  test(`as many are in time under twice the load as under any other (seed ${seed})`, () => {
    const most = Math.max(getServed(0.5, half), getServed(1, full));
    assert.ok(getServed(2, twice) >= 0.9 * most, text);
  });

  test(`3 s after an overload all requests are in time again (seed ${seed})`, () => {
    const requests = simulate([
      { untilMs: SPAN_MS, load: 2 },
      { untilMs: SPAN_MS + 6_000, load: 0.5 },
    ], seed);
    const late = requests.filter(({ atMs, isInTime }) =>
      atMs >= SPAN_MS + 3_000 && !isInTime
    );
    assert.is(late.length, 0);
  });
}

test.run();
