/**
 * Discrete-event simulation of admission and the fair queue: one entry receives the
 * requests of a large and a small client account, up to several times its capacity.
 *
 * @module
 */

import { build } from "hdr-histogram-js";
import TinyQueue from "tinyqueue";
import { createRandomSource } from "../proof/random_source.ts";
import {
  addToFairQueue,
  createFairQueue,
  decideAdmission,
  findFairQueuePosition,
  removeFromFairQueue,
  RUN_TIME_MARGIN,
  takeFromFairQueue,
} from "../src/limits/index.ts";

/** How requests are queued; `ours` is admission control with the fair queue. */
export type QueuePolicy = "ours" | "endless queue" | "bounded queue";

/** Options of {@link runOverloadModel}. */
export interface OverloadModelOptions {
  readonly policy: QueuePolicy;
  /** Offered load as a share of the capacity. */
  readonly load: number;
  /** Share of the offered load that comes from the small client account. */
  readonly smallShare: number;
  readonly seed: number;
}

/** Outcome of a simulation. */
export interface OverloadResult {
  /** Requests completed before their deadline, as a share of the capacity. */
  readonly goodput: number;
  readonly smallP99Ms: number;
  readonly largeP99Ms: number;
  /** Share of the small client account's requests that were rejected or late. */
  readonly smallLostShare: number;
  /** Share of the completed requests that ended after their deadline. */
  readonly lateShare: number;
}

/** Requests that run concurrently. */
const SLOTS = 64;

/** Mean run time of a request. */
const MEAN_RUN_MS = 200;

/** Time that callers allow for a request. */
const DEADLINE_MS = 2_000;

/** Simulated time. */
const DURATION_MS = 60_000;

const MAX_QUEUED = 512;

interface QueuedRequest {
  readonly id: number;
  readonly account: "small" | "large";
  readonly arrivedMs: number;
}

interface ModelEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Simulates one minute of requests at an entry. */
export function runOverloadModel(
  options: OverloadModelOptions,
): OverloadResult {
  const { policy, load, smallShare } = options;
  const random = createRandomSource(options.seed);
  const events = new TinyQueue<ModelEvent>([], (a, b) => a.atMs - b.atMs);
  const capacityPerMs = SLOTS / MEAN_RUN_MS;
  const latencies = { small: makeHistogram(), large: makeHistogram() };
  const inFlight = { small: 0, large: 0 };
  const arrived = { small: 0, large: 0 };
  const inTime = { small: 0, large: 0 };
  const byId = new Map<number, QueuedRequest>();
  const fifoQueue: QueuedRequest[] = [];
  let queue = createFairQueue();
  let running = 0;
  let late = 0;
  let completed = 0;
  let nowMs = 0;
  let nextId = 1;
  let meanEndGapMs = 0;
  let lastEndMs = 0;
  let meanRunMs = 0;

  function scheduleArrival(account: "small" | "large"): void {
    const share = account === "small" ? smallShare : 1 - smallShare;
    const meanMs = 1 / (capacityPerMs * load * share);
    events.push({
      atMs: nowMs + random.exponential(meanMs),
      run: () => {
        receive({ id: nextId++, account, arrivedMs: nowMs });
        if (nowMs < DURATION_MS) scheduleArrival(account);
      },
    });
  }

  function receive(waiting: QueuedRequest): void {
    arrived[waiting.account] += 1;
    if (policy === "ours") return receiveWithAdmission(waiting);
    if (running < SLOTS) return start(waiting);
    if (policy === "bounded queue" && fifoQueue.length >= MAX_QUEUED) return;
    fifoQueue.push(waiting);
  }

  function receiveWithAdmission(waiting: QueuedRequest): void {
    const { ahead, last } = findFairQueuePosition(queue, makeItem(waiting));
    const decided = decideAdmission({
      inFlight: running,
      maxInFlight: SLOTS,
      queued: byId.size,
      maxQueued: MAX_QUEUED,
      queuedAhead: ahead,
      canDisplace: last !== undefined,
      accountInFlight: inFlight[waiting.account],
      accountMaxInFlight: Infinity,
      endedPerS: meanEndGapMs > 0 ? 1_000 / meanEndGapMs : 0,
      timeLeftMs: DEADLINE_MS,
      typicalRunMs: meanRunMs,
    });
    if (decided.decision === "run") return start(waiting);
    if (decided.decision === "refuse") return;
    if (decided.displace && last) {
      byId.delete(last.id);
      queue = removeFromFairQueue(queue, last.id);
    }
    byId.set(waiting.id, waiting);
    queue = addToFairQueue(queue, makeItem(waiting));
  }

  function makeItem(waiting: QueuedRequest) {
    return {
      id: waiting.id,
      clientAccount: waiting.account,
      weight: 1,
      priority: 5,
      deadlineMs: waiting.arrivedMs + DEADLINE_MS - RUN_TIME_MARGIN * meanRunMs,
    };
  }

  function start(waiting: QueuedRequest): void {
    running += 1;
    inFlight[waiting.account] += 1;
    const durationMs = random.exponential(MEAN_RUN_MS);
    events.push({
      atMs: nowMs + durationMs,
      run: () => end(waiting, durationMs),
    });
  }

  function end(waiting: QueuedRequest, durationMs: number): void {
    running -= 1;
    completed += 1;
    inFlight[waiting.account] -= 1;
    meanRunMs = updateAverage(meanRunMs, durationMs);
    if (lastEndMs > 0) {
      meanEndGapMs = updateAverage(meanEndGapMs, nowMs - lastEndMs);
    }
    lastEndMs = nowMs;
    const latencyMs = nowMs - waiting.arrivedMs;
    latencies[waiting.account].recordValue(Math.max(1, Math.round(latencyMs)));
    if (latencyMs <= DEADLINE_MS) inTime[waiting.account] += 1;
    else late += 1;
    startNext();
  }

  function startNext(): void {
    if (policy !== "ours") {
      const next = fifoQueue.shift();
      if (next) start(next);
      return;
    }
    const taken = takeFromFairQueue(queue, nowMs);
    queue = taken.queue;
    for (const { id } of taken.expired) byId.delete(id);
    const next = byId.get(taken.request?.id ?? 0);
    if (!next) return;
    byId.delete(next.id);
    start(next);
  }

  scheduleArrival("small");
  scheduleArrival("large");
  while (nowMs < DURATION_MS) {
    const event = events.pop();
    if (!event) break;
    nowMs = event.atMs;
    event.run();
  }
  return {
    goodput: (inTime.small + inTime.large) / (DURATION_MS * capacityPerMs),
    smallP99Ms: latencies.small.getValueAtPercentile(99),
    largeP99Ms: latencies.large.getValueAtPercentile(99),
    smallLostShare: 1 - inTime.small / arrived.small,
    lateShare: late / completed,
  };
}

function makeHistogram() {
  return build({ numberOfSignificantValueDigits: 3 });
}

function updateAverage(before: number, value: number): number {
  return before === 0 ? value : before + 0.05 * (value - before);
}
