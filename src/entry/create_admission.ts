/**
 * Lets requests in: rates, shares, fair queues, refusals at once.
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
  findFairQueuePlace,
  removeFromFairQueue,
  RUN_MARGIN,
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

/** A request that wants to be let in. */
export interface AdmissionRequest {
  readonly service: Resource<"service">;
  readonly account: Resource<"clientAccount">;
  readonly priority: number;
  /** Monotonic time, in ms, after which the caller no longer wants it. */
  readonly deadlineMs: number;
  /** Aborted when the caller goes away. */
  readonly signal: AbortSignal;
}

/** A place among the running requests; disposing of it frees it. */
export type AdmissionSlot = AsyncDisposable;

/** Lets requests in. */
export interface Admission {
  /** Rejects with a {@link RequestProblemError} where it is refused. */
  admit(request: AdmissionRequest): Promise<AdmissionSlot>;
  /** Requests a second that each client account lately asked for. */
  getDemandPerS(): Record<string, number>;
  /** Requests a second that were lately asked of each pool. */
  getPoolDemandPerS(): Record<string, number>;
  getQueued(): number;
}

/** Options of {@link createAdmission}. */
export interface CreateAdmissionOptions {
  readonly getShares: () => AccountShares;
  /** Entries that share a limit for which control has sent no share yet. */
  readonly getEntryCount: () => number;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** Requests of a service that run through one entry where nothing is declared. */
export const DEFAULT_MAX_IN_FLIGHT = 256;

/** Requests of a service that wait at one entry where nothing is declared. */
export const DEFAULT_MAX_QUEUED = 512;

/** Weight of the newest request in the averages of a service. */
const EWMA_WEIGHT = 0.05;

/** Seconds of its rate that a client account may save up. */
const BURST_S = 1;

interface Waiting {
  readonly run: () => void;
  /** Its time is over. */
  readonly expire: () => void;
  /** Another goes before it in a full queue. */
  readonly giveUp: () => void;
}

interface ServiceGate {
  inFlight: number;
  queue: FairQueue;
  readonly waiting: Map<number, Waiting>;
  /** Average time, in ms, that a request runs. */
  runMs: number;
  /** Average time, in ms, between two ends. */
  betweenEndsMs: number;
  lastEndMs: number;
}

interface AccountGate {
  bucket: TokenBucket | undefined;
  inFlight: number;
}

/**
 * Makes what lets requests in.
 *
 * @param options - The shares, the metrics and the time.
 * @returns The admission.
 * @throws Nothing.
 * @example
 * await using slot = await admission.admit(request);
 */
export function createAdmission(options: CreateAdmissionOptions): Admission {
  const { metrics, now } = options;
  const services = new Map<string, ServiceGate>();
  const accounts = new Map<string, AccountGate>();
  const accountDemand = createDemandMeter({ now });
  const poolDemand = createDemandMeter({ now });
  let nextId = 1;

  function getServiceGate(name: string): ServiceGate {
    const known = services.get(name);
    if (known) return known;
    const gate: ServiceGate = {
      inFlight: 0,
      queue: createFairQueue(),
      waiting: new Map(),
      runMs: 0,
      betweenEndsMs: 0,
      lastEndMs: 0,
    };
    services.set(name, gate);
    return gate;
  }

  function getAccountGate(name: string): AccountGate {
    const known = accounts.get(name);
    if (known) return known;
    const gate: AccountGate = {
      bucket: undefined,
      inFlight: 0,
    };
    accounts.set(name, gate);
    return gate;
  }

  function takeRate(
    gate: AccountGate,
    account: Resource<"clientAccount">,
  ): void {
    const { requestsPerS } = account.spec;
    if (requestsPerS === undefined) return;
    const share = options.getShares()[account.name]?.requestsPerS;
    const ratePerS = share ?? requestsPerS / options.getEntryCount();
    const burst = Math.max(1, ratePerS * BURST_S);
    const rate = { nowMs: now(), ratePerS, burst };
    const taken = takeToken(gate.bucket ?? createTokenBucket(rate), rate);
    gate.bucket = taken.bucket;
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
    const gate = getServiceGate(service.name);
    const accountGate = getAccountGate(account.name);
    accountDemand.count(account.name);
    poolDemand.count(service.spec.pool);
    const { maxInFlight = DEFAULT_MAX_IN_FLIGHT, maxQueued } = service.spec;
    const item = makeItem(request, gate);
    const { ahead, last } = findFairQueuePlace(gate.queue, item);
    const decision = decideAdmission({
      inFlight: gate.inFlight,
      maxInFlight,
      queued: gate.waiting.size,
      queuedAhead: ahead,
      hasLater: last !== undefined,
      maxQueued: maxQueued ?? DEFAULT_MAX_QUEUED,
      accountInFlight: accountGate.inFlight,
      accountMaxInFlight: getAccountMaxInFlight(account),
      endedPerS: gate.betweenEndsMs > 0 ? 1_000 / gate.betweenEndsMs : 0,
      timeLeftMs: deadlineMs - now(),
      typicalRunMs: gate.runMs,
    });
    if (decision.decision === "refuse") {
      throw refuse(decision.reason, decision.retryAfterMs);
    }
    takeRate(accountGate, account);
    if (decision.decision === "queue" && decision.displace && last) {
      displace(gate, last.id);
    }
    accountGate.inFlight += 1;
    try {
      if (decision.decision === "run") gate.inFlight += 1;
      else await wait(gate, request);
    } catch (error) {
      accountGate.inFlight -= 1;
      throw error;
    }
    return makeSlot(gate, accountGate);
  }

  // The last of a full queue is given up for one that goes before it.
  function displace(gate: ServiceGate, id: number): void {
    gate.queue = removeFromFairQueue(gate.queue, id);
    gate.waiting.get(id)?.giveUp();
  }

  async function wait(
    gate: ServiceGate,
    request: AdmissionRequest,
  ): Promise<void> {
    const startedMs = now();
    const id = nextId++;
    const { deadlineMs, signal } = request;
    gate.queue = addToFairQueue(gate.queue, { ...makeItem(request, gate), id });
    const tooLate = () => refuse("deadline_too_near", backlogMs(gate));
    try {
      await new Promise<void>((resolve, reject) => {
        const timer = setTimeout(
          () => reject(tooLate()),
          Math.max(0, deadlineMs - startedMs),
        );
        const settle = (finish: () => void) => () => {
          clearTimeout(timer);
          finish();
        };
        gate.waiting.set(id, {
          run: settle(resolve),
          expire: settle(() => reject(tooLate())),
          giveUp: settle(() => reject(refuse("queue_full", backlogMs(gate)))),
        });
        signal.addEventListener(
          "abort",
          settle(() => reject(new Error("The caller went away"))),
        );
      });
    } catch (error) {
      gate.queue = removeFromFairQueue(gate.queue, id);
      throw error;
    } finally {
      gate.waiting.delete(id);
      metrics.timing("requests.queue_ms", now() - startedMs);
    }
  }

  function makeSlot(
    gate: ServiceGate,
    accountGate: AccountGate,
  ): AdmissionSlot {
    const startedMs = now();
    return {
      async [Symbol.asyncDispose]() {
        await Promise.resolve();
        accountGate.inFlight -= 1;
        gate.inFlight -= 1;
        const nowMs = now();
        gate.runMs = average(gate.runMs, nowMs - startedMs);
        if (gate.lastEndMs > 0) {
          const betweenMs = nowMs - gate.lastEndMs;
          gate.betweenEndsMs = average(gate.betweenEndsMs, betweenMs);
        }
        gate.lastEndMs = nowMs;
        runNext(gate);
      },
    };
  }

  function runNext(gate: ServiceGate): void {
    const taken = takeFromFairQueue(gate.queue, now());
    gate.queue = taken.queue;
    for (const { id } of taken.expired) gate.waiting.get(id)?.expire();
    const next = taken.request && gate.waiting.get(taken.request.id);
    if (!next) return;
    gate.inFlight += 1;
    next.run();
  }

  return {
    admit,
    getDemandPerS: accountDemand.getPerS,
    getPoolDemandPerS: poolDemand.getPerS,
    getQueued() {
      let queued = 0;
      for (const gate of services.values()) queued += gate.waiting.size;
      return queued;
    },
  };
}

function makeItem(request: AdmissionRequest, gate: ServiceGate) {
  const { account, priority, deadlineMs } = request;
  return {
    id: 0,
    clientAccount: account.name,
    weight: account.spec.weight ?? 1,
    priority,
    // A request whose turn comes later than that would end too late.
    deadlineMs: deadlineMs - RUN_MARGIN * gate.runMs,
  };
}

// Time, in ms, until all that waits now will have run.
function backlogMs(gate: ServiceGate): number {
  const backlog = gate.waiting.size * gate.betweenEndsMs;
  return backlog > 0 ? backlog : DEFAULT_RETRY_AFTER_MS;
}

function average(before: number, value: number): number {
  return before === 0 ? value : before + EWMA_WEIGHT * (value - before);
}
