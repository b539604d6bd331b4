/**
 * Simulates gateways in front of upstreams near or over their capacity: a full
 * upstream rejects requests and asks the gateway to back off.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import { createRandomSource } from "../proof/random_source.ts";
import { sumLoads } from "../src/fleet/index.ts";
import { isBusy } from "../src/gateway/admit_call.ts";
import {
  chooseEngine,
  estimateRunningShare,
} from "../src/gateway/choose_engine.ts";
import {
  createEngineNotices,
  type EngineNotices,
  type SlowStart,
} from "../src/gateway/create_engine_notices.ts";
import {
  createEngineTable,
  type EngineTable,
} from "../src/gateway/create_engine_table.ts";
import {
  type BackOffThrottle,
  createBackOffThrottle,
} from "../src/gateway/create_back_off_throttle.ts";
import {
  createResponseTimes,
  type ResponseTimes,
} from "../src/gateway/create_response_times.ts";
import type { EngineView } from "../src/gateway/engine_view.ts";
import { getBackOffWaitMs } from "../src/gateway/get_back_off_wait_ms.ts";
import { jitterRetryAfterMs } from "../src/gateway/jitter_retry_after_ms.ts";

/** Simulated load and fleet, and how gateways handle back-offs. */
export interface BackOffScenario {
  readonly gateways: number;
  readonly engines: number;
  /** Requests that an engine processes concurrently. */
  readonly slots: number;
  /** Requests that an engine queues beyond those. */
  readonly queue: number;
  readonly meanRunMs: number;
  readonly askedPerS: number;
  readonly durationMs: number;
  /** Length of the back-off that a full engine asks for. */
  readonly backOffMs: number;
  /** Whether gateways respect back-offs. */
  readonly respectsBackOffs: boolean;
  /** How gateways resume sending after a back-off; by default as in production. */
  readonly slowStart?: SlowStart;
  /** Whether reported loads count for less as they age. */
  readonly discountsStaleLoads: boolean;
  /** Whether new requests are throttled while many engines are backed off. */
  readonly throttles: boolean;
  readonly seed: number;
}

/** Outcome for callers and engines. */
export interface BackOffResult {
  readonly asked: number;
  /** Answers within the latency target. */
  readonly inTime: number;
  readonly served: number;
  /** Arrivals that a full engine rejected. */
  readonly rejected: number;
  /** Arrivals during a back-off that the engine had asked that gateway for. */
  readonly duringBackOff: number;
  /** Mean share of engines that are backed off, over gateways and time. */
  readonly backedOffShare: number;
  /** Mean share of the engines' slots that are in use. */
  readonly busyShare: number;
}

const SERVICE = "s";
const NETWORK_MS = 1;
const TARGET_LATENCY_MS = 386;
const DEADLINE_MS = 3_000;
const MAX_ATTEMPTS = 3;
const LOADS_INTERVAL_MS = 350;
const SAMPLE_INTERVAL_MS = 50;
/** Delay before a caller's retry where no back-off gives a longer one. */
const RETRY_AFTER_MS = 300;
/**
 * Round trip in which requests may still arrive that were sent before the gateway
 * received the back-off; they don't count as arrivals during it.
 */
const IN_TRANSIT_MS = 2 * NETWORK_MS;

interface Caller {
  readonly firstSentMs: number;
  retries: number;
}

interface Gateway {
  readonly table: EngineTable;
  readonly notices: EngineNotices;
  readonly throttle: BackOffThrottle;
  readonly usualTimes: ResponseTimes;
}

interface Engine {
  running: number;
  readonly waiting: (() => void)[];
  /** End of the back-off that the engine asked for, by gateway. */
  readonly backOffUntilMs: number[];
}

/**
 * Simulates requests to engines that ask for back-offs when they are full.
 *
 * @param load - Load, fleet, and the handling of back-offs.
 * @returns Outcome for callers and engines.
 * @throws Nothing.
 * @example
 * const { rejected, asked } = simulateBackOffs(load);
 */
export function simulateBackOffs(load: BackOffScenario): BackOffResult {
  const { number: random } = createRandomSource(load.seed);
  const events = new TinyQueue<{ atMs: number; run: () => void }>(
    [],
    (a, b) => a.atMs - b.atMs,
  );
  let nowMs = 0;
  const after = (delayMs: number, run: () => void) =>
    events.push({ atMs: nowMs + delayMs, run });
  const tally = {
    asked: 0,
    inTime: 0,
    served: 0,
    rejected: 0,
    duringBackOff: 0,
    resting: 0,
    busy: 0,
    samples: 0,
  };
  const engines = Array.from({ length: load.engines }, (): Engine => ({
    running: 0,
    waiting: [],
    backOffUntilMs: Array(load.gateways).fill(-Infinity),
  }));
  const gateways = Array.from({ length: load.gateways }, startGateway);

  function startGateway(): Gateway {
    const notices = createEngineNotices({
      steadyNow: () => nowMs,
      random,
      log: () => {},
      metrics: { count: () => {} },
      slowStart: load.slowStart,
    });
    const table = createEngineTable({
      now: () => nowMs,
      log: () => {},
      onRemoved: () => {},
      notices: load.respectsBackOffs ? notices : undefined,
    });
    const records = engines.map((_, at) => ({
      engineId: String(at),
      service: SERVICE,
      address: `${at}:80`,
      place: "p",
      slots: load.slots,
      isLeaving: false,
    }));
    table.applyUpdate({
      type: "engines",
      isWhole: true,
      engines: records,
      gone: [],
    });
    const throttle = createBackOffThrottle({ now: () => nowMs });
    return {
      table,
      notices,
      throttle,
      usualTimes: createResponseTimes({ now: () => nowMs }),
    };
  }

  function submit(caller: Caller): void {
    const at = Math.floor(random() * gateways.length);
    const { table, throttle } = gateways[at];
    const isLimited = load.throttles && isBusy(table.listUsable(SERVICE));
    const waitMs = isLimited ? throttle.admit(SERVICE) : undefined;
    if (waitMs !== undefined) return scheduleRetry(caller, waitMs);
    attemptNext(caller, { at, excluded: new Set(), tries: 0 });
  }

  interface Call {
    readonly at: number;
    readonly excluded: Set<string>;
    tries: number;
  }

  function attemptNext(caller: Caller, call: Call): void {
    const { table, usualTimes } = gateways[call.at];
    const ageMs = table.getLoadsAgeMs();
    const usualMs = usualTimes.getMeanMs(SERVICE);
    const engine = call.tries < MAX_ATTEMPTS
      ? chooseEngine(table.listUsable(SERVICE), {
        place: "p",
        excluded: call.excluded,
        nowMs,
        random: random(),
        runningShare: load.discountsStaleLoads
          ? estimateRunningShare({ ageMs, usualMs })
          : 1,
      })
      : undefined;
    if (!engine) return rejectCall(caller, call);
    call.tries += 1;
    send(caller, { call, engine });
  }

  function rejectCall(caller: Caller, call: Call): void {
    const { table, notices } = gateways[call.at];
    const backOffMs = load.respectsBackOffs
      ? getBackOffWaitMs({ engines: table, notices, service: SERVICE })
      : undefined;
    scheduleRetry(caller, backOffMs ?? 0);
  }

  function scheduleRetry(caller: Caller, minWaitMs: number): void {
    const waitMs = minWaitMs === 0
      ? RETRY_AFTER_MS
      : jitterRetryAfterMs(Math.max(RETRY_AFTER_MS, minWaitMs), random());
    const remainingMs = caller.firstSentMs + DEADLINE_MS - nowMs;
    // Callers retry once, after at most a third of their remaining time.
    if (caller.retries > 0 || remainingMs <= 0) return;
    caller.retries += 1;
    after(Math.min(waitMs, remainingMs / 3), () => submit(caller));
  }

  function send(
    caller: Caller,
    { call, engine }: { call: Call; engine: EngineView },
  ): void {
    const { engineId } = engine.record;
    const { notices, throttle, usualTimes, table } = gateways[call.at];
    const sentMs = nowMs;
    const endSend = notices.beginSend(engineId);
    engine.inFlight += 1;
    after(NETWORK_MS, () => arrive(Number(engineId), { call, onAnswer }));

    function onAnswer(isAccepted: boolean): void {
      after(NETWORK_MS, () => {
        engine.inFlight -= 1;
        engine.reportedLoad = getReportedLoad(engines[Number(engineId)]);
        if (!isAccepted) {
          notices.record(engineId, {
            backOffMs: load.backOffMs,
            isLeaving: false,
          });
          const resting = table.listBackedOff(SERVICE).length;
          throttle.noteBackOff(SERVICE, {
            backedOffShare: resting / load.engines,
          });
        }
        endSend({ isAccepted: isAccepted });
        if (isAccepted) {
          usualTimes.noteAnswer(SERVICE, { tookMs: nowMs - sentMs });
          throttle.noteServed(SERVICE);
          return recordAnswer(caller);
        }
        call.excluded.add(engineId);
        attemptNext(caller, call);
      });
    }
  }

  function getReportedLoad({ running, waiting }: Engine): number {
    return (running + waiting.length) / load.slots;
  }

  function recordAnswer({ firstSentMs }: Caller): void {
    const tookMs = nowMs - firstSentMs;
    if (tookMs <= DEADLINE_MS) tally.served += 1;
    if (tookMs <= TARGET_LATENCY_MS) tally.inTime += 1;
  }

  function arrive(
    at: number,
    options: { call: Call; onAnswer: (isAccepted: boolean) => void },
  ): void {
    const engine = engines[at];
    const { call, onAnswer } = options;
    if (nowMs < engine.backOffUntilMs[call.at]) tally.duringBackOff += 1;
    if (engine.running < load.slots) return startWork(engine, onAnswer);
    if (engine.waiting.length < load.queue) {
      engine.waiting.push(() => startWork(engine, onAnswer));
      return;
    }
    tally.rejected += 1;
    after(IN_TRANSIT_MS, () => {
      engine.backOffUntilMs[call.at] = nowMs - IN_TRANSIT_MS + load.backOffMs;
    });
    onAnswer(false);
  }

  function startWork(
    engine: Engine,
    onAnswer: (isAccepted: boolean) => void,
  ): void {
    engine.running += 1;
    // Uniform between 0.5 and 1.5 times the mean.
    const tookMs = load.meanRunMs * (0.5 + random());
    after(tookMs, () => {
      engine.running -= 1;
      onAnswer(true);
      engine.waiting.shift()?.();
    });
  }

  function publishLoads(): void {
    const loads = sumLoads(gateways.map(({ table }) => table.getLoads()));
    gateways.forEach(({ table }) => table.updateLoads(loads));
    after(LOADS_INTERVAL_MS, publishLoads);
  }

  function sample(): void {
    const resting = gateways.reduce(
      (sum, { notices }) => sum + notices.countBackedOff(),
      0,
    );
    const busy = engines.reduce((sum, { running }) => sum + running, 0);
    tally.samples += 1;
    tally.resting += resting / (load.gateways * load.engines);
    tally.busy += busy / (load.engines * load.slots);
    after(SAMPLE_INTERVAL_MS, sample);
  }

  function generateRequests(): void {
    tally.asked += 1;
    submit({ firstSentMs: nowMs, retries: 0 });
    const gapMs = -Math.log(1 - random()) * 1_000 / load.askedPerS;
    if (nowMs + gapMs < load.durationMs) after(gapMs, generateRequests);
  }

  generateRequests();
  publishLoads();
  sample();
  const endMs = load.durationMs + DEADLINE_MS;
  for (let next = events.pop(); next; next = events.pop()) {
    if (next.atMs > endMs) break;
    nowMs = next.atMs;
    next.run();
  }
  const { samples, resting, busy, ...counts } = tally;
  return {
    ...counts,
    backedOffShare: resting / samples,
    busyShare: busy / samples,
  };
}
