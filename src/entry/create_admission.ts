/**
 * Admission control: rate limits, in-flight limits, fair queueing and load shedding.
 *
 * @module
 */

import type { Problem } from "../http/index.ts";
import {
  addToFairQueue,
  createFairQueue,
  createTokenBucket,
  decideAdmission,
  DEFAULT_RETRY_AFTER_MS,
  type FairQueue,
  findFairQueuePosition,
  removeFromFairQueue,
  RUN_TIME_MARGIN,
  takeFromFairQueue,
  takeToken,
  type TokenBucket,
} from "../limits/index.ts";
import {
  type Metrics,
  REFUSAL_REASONS,
  type RefusalReason,
} from "../metrics/index.ts";
import type { AccountShares, Resource } from "../model/index.ts";
import { createDemandMeter } from "./create_demand_meter.ts";
import { RequestProblemError } from "./entry_error.ts";

/** A request to admit. */
export interface AdmissionRequest {
  readonly service: Resource<"service">;
  readonly account: Resource<"clientAccount">;
  readonly priority: number;
  /** Deadline, as monotonic time in ms. */
  readonly deadlineMs: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** An in-flight slot; disposing of it releases the slot. */
export type AdmissionSlot = AsyncDisposable;

/** Admission control of an entry. */
export interface Admission {
  /** Resolves when the request may run; rejects with a {@link RequestProblemError}. */
  admit(request: AdmissionRequest): Promise<AdmissionSlot>;
  /** Recent demand of each client account, in requests per second. */
  getDemandPerS(): Record<string, number>;
  /** Recent demand on each pool, in requests per second. */
  getPoolDemandPerS(): Record<string, number>;
  getQueued(): number;
}

/** Options of {@link createAdmission}. */
export interface CreateAdmissionOptions {
  readonly getShares: () => AccountShares;
  /** Number of entries, to divide a limit for which control has sent no share yet. */
  readonly getEntryCount: () => number;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Default limit of a service's requests in flight at one entry. */
export const DEFAULT_MAX_IN_FLIGHT = 256;

/** Default limit of a service's queued requests at one entry. */
export const DEFAULT_MAX_QUEUED = 512;

/** Weight of the newest sample in the moving averages of a service. */
const EWMA_WEIGHT = 0.05;

/** Burst size of a client account, in seconds of its rate. */
const BURST_S = 1;

interface QueuedRequest {
  readonly run: () => void;
  /** Its deadline can no longer be met. */
  readonly expire: () => void;
  /** The queue is full and another request takes its position. */
  readonly evict: () => void;
}

interface ServiceState {
  inFlight: number;
  queue: FairQueue;
  readonly waiting: Map<number, QueuedRequest>;
  /** Moving average of a request's run time, in ms; 0 before the first sample. */
  averageRunMs: number;
  /** Moving average of the time between completions, in ms; 0 before the first sample. */
  completionIntervalMs: number;
  lastCompletionMs: number;
}

interface AccountState {
  bucket: TokenBucket | undefined;
  inFlight: number;
}

/**
 * Creates the admission control.
 *
 * @param options - Shares of the limits, metrics and a clock.
 * @returns The admission control.
 * @throws Nothing.
 * @example
 * await using slot = await admission.admit(request);
 */
export function createAdmission(options: CreateAdmissionOptions): Admission {
  const { metrics, now } = options;
  const services = new Map<string, ServiceState>();
  const accounts = new Map<string, AccountState>();
  const accountDemand = createDemandMeter({ now });
  const poolDemand = createDemandMeter({ now });
  let nextId = 1;

  function getServiceState(name: string): ServiceState {
    const existing = services.get(name);
    if (existing) return existing;
    const state: ServiceState = {
      inFlight: 0,
      queue: createFairQueue(),
      waiting: new Map(),
      averageRunMs: 0,
      completionIntervalMs: 0,
      lastCompletionMs: 0,
    };
    services.set(name, state);
    return state;
  }

  function getAccountState(name: string): AccountState {
    const existing = accounts.get(name);
    if (existing) return existing;
    const state: AccountState = {
      bucket: undefined,
      inFlight: 0,
    };
    accounts.set(name, state);
    return state;
  }

  function consumeRate(
    state: AccountState,
    account: Resource<"clientAccount">,
  ): void {
    const { requestsPerS } = account.spec;
    if (requestsPerS === undefined) return;
    const share = options.getShares()[account.name]?.requestsPerS;
    const ratePerS = share ?? requestsPerS / options.getEntryCount();
    const burst = Math.max(1, ratePerS * BURST_S);
    const rate = { nowMs: now(), ratePerS, burst };
    const taken = takeToken(state.bucket ?? createTokenBucket(rate), rate);
    state.bucket = taken.bucket;
    if (!taken.admitted) throw refuse("rate_limited", taken.retryAfterMs);
  }

  function getAccountMaxInFlight(account: Resource<"clientAccount">): number {
    const { maxInFlight } = account.spec;
    if (maxInFlight === undefined) return Infinity;
    const share = options.getShares()[account.name]?.maxInFlight;
    return share ?? Math.max(1, maxInFlight / options.getEntryCount());
  }

  function refuse(reason: RefusalReason, retryAfterMs: number): Error {
    metrics.countRefusal(reason);
    const problem: Problem = {
      status: reason === "rate_limited" || reason === "too_many_in_flight"
        ? 429
        : 503,
      reason,
      detail: REFUSAL_REASONS[reason],
      outcome: "not_run",
      retryAfterS: Math.max(1, retryAfterMs / 1_000),
    };
    return new RequestProblemError(problem.detail, { props: { problem } });
  }

  async function admit(request: AdmissionRequest): Promise<AdmissionSlot> {
    const { service, account, deadlineMs } = request;
    const state = getServiceState(service.name);
    const accountState = getAccountState(account.name);
    accountDemand.count(account.name);
    poolDemand.count(service.spec.pool);
    const { maxInFlight = DEFAULT_MAX_IN_FLIGHT, maxQueued } = service.spec;
    const queueItem = createQueueItem(request, state);
    const { ahead, last } = findFairQueuePosition(state.queue, queueItem);
    const decision = decideAdmission({
      inFlight: state.inFlight,
      maxInFlight,
      queued: state.waiting.size,
      queuedAhead: ahead,
      canDisplace: last !== undefined,
      maxQueued: maxQueued ?? DEFAULT_MAX_QUEUED,
      accountInFlight: accountState.inFlight,
      accountMaxInFlight: getAccountMaxInFlight(account),
      endedPerS: state.completionIntervalMs > 0
        ? 1_000 / state.completionIntervalMs
        : 0,
      timeLeftMs: deadlineMs - now(),
      typicalRunMs: state.averageRunMs,
    });
    if (decision.decision === "refuse") {
      throw refuse(decision.reason, decision.retryAfterMs);
    }
    consumeRate(accountState, account);
    if (decision.decision === "queue" && decision.displace && last) {
      displace(state, last.id);
    }
    accountState.inFlight += 1;
    try {
      if (decision.decision === "run") state.inFlight += 1;
      else await waitInQueue(state, request);
    } catch (error) {
      accountState.inFlight -= 1;
      throw error;
    }
    return createSlot(state, accountState);
  }

  // Rejects the last request of a full queue to make room for a more urgent one.
  function displace(state: ServiceState, id: number): void {
    state.queue = removeFromFairQueue(state.queue, id);
    state.waiting.get(id)?.evict();
  }

  async function waitInQueue(
    state: ServiceState,
    request: AdmissionRequest,
  ): Promise<void> {
    const startedMs = now();
    const id = nextId++;
    const { deadlineMs, signal } = request;
    state.queue = addToFairQueue(state.queue, {
      ...createQueueItem(request, state),
      id,
    });
    const createDeadlineError = () =>
      refuse("deadline_too_near", estimateBacklogMs(state));
    try {
      await new Promise<void>((resolve, reject) => {
        const timer = setTimeout(
          () => reject(createDeadlineError()),
          Math.max(0, deadlineMs - startedMs),
        );
        const finishWaiting = (finish: () => void) => () => {
          clearTimeout(timer);
          finish();
        };
        state.waiting.set(id, {
          run: finishWaiting(resolve),
          expire: finishWaiting(() => reject(createDeadlineError())),
          evict: finishWaiting(() =>
            reject(refuse("queue_full", estimateBacklogMs(state)))
          ),
        });
        signal.addEventListener(
          "abort",
          finishWaiting(() => reject(new Error("The caller disconnected"))),
        );
      });
    } catch (error) {
      state.queue = removeFromFairQueue(state.queue, id);
      throw error;
    } finally {
      state.waiting.delete(id);
      metrics.timing("requests.queue_ms", now() - startedMs);
    }
  }

  function createSlot(
    state: ServiceState,
    accountState: AccountState,
  ): AdmissionSlot {
    const startedMs = now();
    return {
      async [Symbol.asyncDispose]() {
        await Promise.resolve();
        accountState.inFlight -= 1;
        state.inFlight -= 1;
        const nowMs = now();
        state.averageRunMs = updateAverage(
          state.averageRunMs,
          nowMs - startedMs,
        );
        if (state.lastCompletionMs > 0) {
          const betweenMs = nowMs - state.lastCompletionMs;
          state.completionIntervalMs = updateAverage(
            state.completionIntervalMs,
            betweenMs,
          );
        }
        state.lastCompletionMs = nowMs;
        runNext(state);
      },
    };
  }

  function runNext(state: ServiceState): void {
    const taken = takeFromFairQueue(state.queue, now());
    state.queue = taken.queue;
    for (const { id } of taken.expired) state.waiting.get(id)?.expire();
    const next = taken.request && state.waiting.get(taken.request.id);
    if (!next) return;
    state.inFlight += 1;
    next.run();
  }

  return {
    admit,
    getDemandPerS: accountDemand.getRatesPerS,
    getPoolDemandPerS: poolDemand.getRatesPerS,
    getQueued() {
      let queued = 0;
      for (const state of services.values()) queued += state.waiting.size;
      return queued;
    },
  };
}

function createQueueItem(request: AdmissionRequest, state: ServiceState) {
  const { account, priority, deadlineMs } = request;
  return {
    id: 0,
    clientAccount: account.name,
    weight: account.spec.weight ?? 1,
    priority,
    // A request that starts later than this would miss its deadline.
    deadlineMs: deadlineMs - RUN_TIME_MARGIN * state.averageRunMs,
  };
}

// Estimated time, in ms, until the current queue is empty.
function estimateBacklogMs(state: ServiceState): number {
  const backlog = state.waiting.size * state.completionIntervalMs;
  return backlog > 0 ? backlog : DEFAULT_RETRY_AFTER_MS;
}

function updateAverage(before: number, value: number): number {
  return before === 0 ? value : before + EWMA_WEIGHT * (value - before);
}
