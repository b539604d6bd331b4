/**
 * Requests of a large and a small client account at one entry, beyond what its
 * upstreams can do: an event-driven run of admission and the fair queue.
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
  findFairQueuePlace,
  removeFromFairQueue,
  RUN_MARGIN,
  takeFromFairQueue,
} from "../src/limits/index.ts";

/** How requests wait. */
export type QueuePolicy = "ours" | "endless queue" | "bounded queue";

/** Options of {@link runOverloadModel}. */
export interface OverloadModelOptions {
  readonly policy: QueuePolicy;
  /** What is asked for as a part of what can be done. */
  readonly load: number;
  /** Part of it that the small client account asks for. */
  readonly smallPart: number;
  readonly seed: number;
}

/** What a run measured. */
export interface OverloadResult {
  /** Requests done before their deadline, as a part of what can be done. */
  readonly goodput: number;
  readonly smallP99Ms: number;
  readonly largeP99Ms: number;
  /** Part of the small client account's requests that were refused or late. */
  readonly smallLost: number;
  /** Work that ran and was too late, as a part of all that ran. */
  readonly wasted: number;
}

/** Requests that run at once. */
const SLOTS = 64;

/** Mean time, in ms, that a request runs. */
const RUN_MS = 200;

/** Time, in ms, that callers give a request. */
const DEADLINE_MS = 2_000;

/** Virtual time, in ms, of a run. */
const LENGTH_MS = 60_000;

const MAX_QUEUED = 512;

interface Waiting {
  readonly id: number;
  readonly account: "small" | "large";
  readonly arrivedMs: number;
}

interface ModelEvent {
  readonly atMs: number;
  readonly run: () => void;
}

/** Runs the model. */
export function runOverloadModel(
  options: OverloadModelOptions,
): OverloadResult {
  const { policy, load, smallPart } = options;
  const random = createRandomSource(options.seed);
  const events = new TinyQueue<ModelEvent>([], (a, b) => a.atMs - b.atMs);
  const capacityPerMs = SLOTS / RUN_MS;
  const latencies = { small: makeHistogram(), large: makeHistogram() };
  const inFlight = { small: 0, large: 0 };
  const arrived = { small: 0, large: 0 };
  const good = { small: 0, large: 0 };
  const byId = new Map<number, Waiting>();
  const line: Waiting[] = [];
  let queue = createFairQueue();
  let running = 0;
  let late = 0;
  let ran = 0;
  let nowMs = 0;
  let nextId = 1;
  let betweenEndsMs = 0;
  let lastEndMs = 0;
  let runMs = 0;

  function arrive(account: "small" | "large"): void {
    const part = account === "small" ? smallPart : 1 - smallPart;
    const meanMs = 1 / (capacityPerMs * load * part);
    events.push({
      atMs: nowMs + random.exponential(meanMs),
      run: () => {
        take({ id: nextId++, account, arrivedMs: nowMs });
        if (nowMs < LENGTH_MS) arrive(account);
      },
    });
  }

  function take(waiting: Waiting): void {
    arrived[waiting.account] += 1;
    if (policy === "ours") return takeOurs(waiting);
    if (running < SLOTS) return start(waiting);
    if (policy === "bounded queue" && line.length >= MAX_QUEUED) return;
    line.push(waiting);
  }

  function takeOurs(waiting: Waiting): void {
    const { ahead, last } = findFairQueuePlace(queue, makeItem(waiting));
    const decided = decideAdmission({
      inFlight: running,
      maxInFlight: SLOTS,
      queued: byId.size,
      maxQueued: MAX_QUEUED,
      queuedAhead: ahead,
      hasLater: last !== undefined,
      accountInFlight: inFlight[waiting.account],
      accountMaxInFlight: Infinity,
      endedPerS: betweenEndsMs > 0 ? 1_000 / betweenEndsMs : 0,
      timeLeftMs: DEADLINE_MS,
      typicalRunMs: runMs,
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

  function makeItem(waiting: Waiting) {
    return {
      id: waiting.id,
      clientAccount: waiting.account,
      weight: 1,
      priority: 5,
      deadlineMs: waiting.arrivedMs + DEADLINE_MS - RUN_MARGIN * runMs,
    };
  }

  function start(waiting: Waiting): void {
    running += 1;
    inFlight[waiting.account] += 1;
    const durationMs = random.exponential(RUN_MS);
    events.push({
      atMs: nowMs + durationMs,
      run: () => end(waiting, durationMs),
    });
  }

  function end(waiting: Waiting, durationMs: number): void {
    running -= 1;
    ran += 1;
    inFlight[waiting.account] -= 1;
    runMs = average(runMs, durationMs);
    if (lastEndMs > 0) {
      betweenEndsMs = average(betweenEndsMs, nowMs - lastEndMs);
    }
    lastEndMs = nowMs;
    const latencyMs = nowMs - waiting.arrivedMs;
    latencies[waiting.account].recordValue(Math.max(1, Math.round(latencyMs)));
    if (latencyMs <= DEADLINE_MS) good[waiting.account] += 1;
    else late += 1;
    startNext();
  }

  function startNext(): void {
    if (policy !== "ours") {
      const next = line.shift();
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

  arrive("small");
  arrive("large");
  while (nowMs < LENGTH_MS) {
    const event = events.pop();
    if (!event) break;
    nowMs = event.atMs;
    event.run();
  }
  return {
    goodput: (good.small + good.large) / (LENGTH_MS * capacityPerMs),
    smallP99Ms: latencies.small.getValueAtPercentile(99),
    largeP99Ms: latencies.large.getValueAtPercentile(99),
    smallLost: 1 - good.small / arrived.small,
    wasted: late / ran,
  };
}

function makeHistogram() {
  return build({ numberOfSignificantValueDigits: 3 });
}

function average(before: number, value: number): number {
  return before === 0 ? value : before + 0.05 * (value - before);
}
