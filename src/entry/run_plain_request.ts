/**
 * Runs a request at a plain service: chooses an upstream, sends and retries.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Readable } from "node:stream";
import {
  readBackOffMs,
  readLimitedBody,
  readRateLimit,
  TimeLimitError,
} from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import {
  type Metrics,
  REFUSAL_REASONS,
  type RetryReason,
} from "../metrics/index.ts";
import { HEADERS, type Outcome } from "../model/index.ts";
import {
  classifyFailure,
  createRetryBudget,
  decideRetry,
  type DispatchFailure,
  earnRetry,
  type FailureVerdict,
  type RetryBudget,
  spendRetry,
} from "../retry/index.ts";
import { chooseUpstream, findRemainingBackOffMs } from "../routing/index.ts";
import {
  DispatchError,
  getDispatchFailure,
  reportsNotRun,
  type UpstreamAnswer,
  type UpstreamClient,
} from "../upstreams/index.ts";
import type { KnownUpstream, UpstreamTable } from "./create_upstream_table.ts";
import { RequestProblemError } from "./entry_error.ts";
import { getRetryAfterS } from "./get_retry_after_s.ts";
import { applyBackOff } from "./apply_back_off.ts";
import type { RequestContext } from "./request_context.ts";

/** The request as sent by the caller. */
export interface PlainCall {
  readonly method: string;
  /** Path within the service, including the query. */
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Uint8Array | undefined;
}

/** The answer for the caller: a complete body, or a stream that may still fail. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly upstream: string;
  readonly outcome: Outcome;
  readonly body: Buffer | Readable;
}

/** Runs requests at plain services. */
export interface PlainRunner {
  run(context: RequestContext, call: PlainCall): Promise<PlainAnswer>;
}

/** Options of {@link createPlainRunner}. */
export interface CreatePlainRunnerOptions {
  readonly table: UpstreamTable;
  readonly client: UpstreamClient;
  readonly metrics: Metrics;
  readonly log: Logger;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Largest answer, in bytes, that is buffered before it is forwarded. */
export const MAX_BUFFERED_BYTES = 256 * 1024;

/** Shortest request timeout, in ms, whose expiry counts against the upstream. */
export const MIN_CONCLUSIVE_TIMEOUT_MS = 1_000;

/** Polling interval, in ms, while waiting for an upstream. */
const UPSTREAM_POLL_MS = 50;

/** Statuses sent by a proxy before the service, or on overload. */
const RETRYABLE_STATUSES = new Set([502, 503, 504]);

/** A failed attempt and its classification. */
interface FailedAttempt {
  readonly verdict: FailureVerdict;
  /** The upstream's own answer, forwarded if the request is not retried. */
  readonly answer?: PlainAnswer;
}

/**
 * Creates a runner for requests at plain services.
 *
 * @param options - The upstream table, the client, metrics and a clock.
 * @returns The runner.
 * @throws Nothing.
 * @example
 * const runner = createPlainRunner(options);
 */
export function createPlainRunner(
  options: CreatePlainRunnerOptions,
): PlainRunner {
  const { table, client, metrics, log, now, random } = options;
  const budgets = new Map<string, RetryBudget>();

  async function run(
    context: RequestContext,
    call: PlainCall,
  ): Promise<PlainAnswer> {
    const { service } = context;
    const budget = budgets.get(service.name) ?? createRetryBudget();
    budgets.set(service.name, earnRetry(budget));
    const tried = new Set<string>();
    let mayHaveRun = false;
    for (let tries = 1;; tries++) {
      const upstream = await findUpstream(context, { tried, mayHaveRun });
      if (!upstream) {
        const backOffLeftMs = getBackOffLeftMs(service.spec.pool);
        throw createNoUpstreamError({ mayHaveRun, backOffLeftMs });
      }
      tried.add(upstream.name);
      context.addStep(`attempt ${tries} at ${upstream.name}`);
      const result = await sendOnce(context, { call, upstream });
      if (!("verdict" in result)) return result;
      const { verdict, answer } = result;
      mayHaveRun ||= verdict.outcome !== "not_run";
      const afterMs = planRetry(context, { verdict, tries, answer });
      if (afterMs === undefined) {
        if (answer) return { ...answer, outcome: combine(verdict, mayHaveRun) };
        throw createFailureError(verdict, mayHaveRun);
      }
      await sleep(afterMs);
    }
  }

  // A request that may have run is here only if it may be repeated. It waits until its
  // deadline: ending it sooner would only say that its outcome is unknown.
  async function findUpstream(
    context: RequestContext,
    request: { readonly tried: Set<string>; readonly mayHaveRun: boolean },
  ): Promise<KnownUpstream | undefined> {
    const { tried, mayHaveRun } = request;
    const { pool } = context.service.spec;
    const waitUntilMs = mayHaveRun ? context.deadlineMs : now();
    while (true) {
      const upstream = chooseUpstream(table.list(pool), {
        nowMs: now(),
        random: random(),
        exclude: tried,
      });
      const isInTime = now() + getBackOffLeftMs(pool) < waitUntilMs;
      if (upstream || !isInTime || context.signal.aborted) {
        return upstream as KnownUpstream | undefined;
      }
      tried.clear();
      await sleep(UPSTREAM_POLL_MS);
    }
  }

  function getBackOffLeftMs(pool: string): number {
    const views = table.list(pool);
    const nowMs = now();
    const canSend = (atMs: number) =>
      chooseUpstream(views, { nowMs: atMs, random: 0 }) !== undefined;
    return findRemainingBackOffMs(views, { nowMs, canSend }) ?? 0;
  }

  async function sendOnce(
    context: RequestContext,
    options: { call: PlainCall; upstream: KnownUpstream },
  ): Promise<PlainAnswer | FailedAttempt> {
    const { call, upstream } = options;
    const { name, spec } = upstream;
    const sentMs = now();
    table.begin(name);
    let streaming = false;
    try {
      const answer = await client.call({
        ...call,
        address: spec.address,
        timeoutMs: Math.max(1, context.deadlineMs - now()),
        signal: context.signal,
      });
      const notRun = reportsNotRun(answer);
      const limitPerS = readRateLimit(answer.headers[HEADERS.rateLimit]);
      if (limitPerS !== undefined) {
        const limit = notRun ? { limitPerS } : { limitPerS, sentMs };
        table.recordLimit(name, limit);
      }
      const read = await readAnswer(answer, {
        upstream: name,
        timeoutMs: Math.max(1, context.deadlineMs - now()),
      });
      streaming = !Buffer.isBuffer(read.body);
      if (streaming) {
        (read.body as Readable).once("close", () => table.end(name));
      }
      const backOffMs = readBackOffMs(answer);
      return classifyAnswer(read, { notRun, backOffMs });
    } catch (error) {
      const failure = getDispatchFailure(error);
      if (!failure) throw error;
      if (isUpstreamFault(context, failure)) recordResult(name, false);
      return { verdict: classifyFailure(failure) };
    } finally {
      if (!streaming) table.end(name);
    }
  }

  // A caller's disconnection or a very short timeout says nothing about the
  // upstream's health.
  function isUpstreamFault(
    context: RequestContext,
    failure: DispatchFailure,
  ): boolean {
    if (context.signal.aborted) return false;
    const givenMs = context.deadlineMs - context.startedMs;
    return failure.fault !== "timeout" || givenMs >= MIN_CONCLUSIVE_TIMEOUT_MS;
  }

  function classifyAnswer(
    answer: PlainAnswer,
    { notRun, backOffMs }: { notRun: boolean; backOffMs: number | undefined },
  ): PlainAnswer | FailedAttempt {
    const { status, upstream } = answer;
    if (backOffMs !== undefined) applyBackOff(upstream, backOffMs, options);
    else recordResult(upstream, status < 500);
    if (status < 500 && !notRun) return answer;
    const verdict = classifyFailure({
      phase: "answering",
      fault: "upstream_said",
      status,
      reportedNotRun: notRun,
    });
    return { verdict, answer };
  }

  function recordResult(upstream: string, succeeded: boolean): void {
    const ejected = table.recordResult(upstream, succeeded);
    if (!ejected) return;
    metrics.count("upstream.ejected");
    log("upstreamEjected", { upstream });
  }

  // Returns the delay before the next attempt, or undefined if there is none.
  function planRetry(
    context: RequestContext,
    failed: { verdict: FailureVerdict; tries: number; answer?: PlainAnswer },
  ): number | undefined {
    const { verdict, tries, answer } = failed;
    const final = answer && verdict.outcome === "failed" &&
      !RETRYABLE_STATUSES.has(answer.status);
    if (final || context.signal.aborted) return undefined;
    const { repeatable, deadlineMs } = context;
    const request = { tries, repeatable, answerBegun: false, deadlineMs };
    const decision = decideRetry(verdict, request, {
      nowMs: now(),
      random: random(),
    });
    if (!decision.retry) {
      context.addStep(`not retried: ${decision.why}`);
      return undefined;
    }
    const { name } = context.service;
    const remaining = spendRetry(budgets.get(name) ?? createRetryBudget());
    if (!remaining) {
      metrics.count("retry.budget_spent");
      context.addStep("not retried: the retry budget is spent");
      return undefined;
    }
    budgets.set(name, remaining);
    recordRetry(context, verdict.reason);
    if (answer && !Buffer.isBuffer(answer.body)) answer.body.destroy();
    return decision.afterMs;
  }

  function recordRetry(context: RequestContext, reason: RetryReason): void {
    metrics.countRetry(reason);
    context.addStep(`retrying: ${reason}`);
    const { requestId, service } = context;
    log("upstreamRetry", { requestId, service: service.name, reason });
  }

  return { run };
}

async function readAnswer(
  answer: UpstreamAnswer,
  options: { readonly upstream: string; readonly timeoutMs: number },
): Promise<PlainAnswer> {
  const { upstream, timeoutMs } = options;
  const { status, headers, body } = answer;
  const outcome: Outcome = "done";
  const sizeBytes = Number(headers["content-length"] ?? NaN);
  if (!(sizeBytes <= MAX_BUFFERED_BYTES)) {
    return { status, headers, upstream, outcome, body };
  }
  try {
    const maxBytes = MAX_BUFFERED_BYTES;
    const whole = await readLimitedBody(body, { maxBytes, timeoutMs });
    return { status, headers, upstream, outcome, body: whole };
  } catch (cause) {
    const fault = cause instanceof TimeLimitError ? "timeout" : "reset";
    const failure: DispatchFailure = { phase: "answering", fault };
    throw new DispatchError(
      `The answer of ${upstream} was not complete: ${fault}`,
      {
        cause,
        props: { failure },
      },
    );
  }
}

// If an earlier attempt may have run, the outcome "not_run" of the last is unknown.
function combine(
  verdict: FailureVerdict,
  mayHaveRun: boolean,
): Outcome {
  return verdict.outcome === "not_run" && mayHaveRun
    ? "unknown"
    : verdict.outcome;
}

// If upstreams are backed off, the remaining time is sent to the caller as retry-after.
function createNoUpstreamError(
  { mayHaveRun, backOffLeftMs }: { mayHaveRun: boolean; backOffLeftMs: number },
): Error {
  const reason = backOffLeftMs > 0 ? "resting" : "no_upstream";
  const detail = REFUSAL_REASONS[reason];
  return new RequestProblemError(detail, {
    props: {
      problem: {
        status: 503,
        reason,
        detail,
        outcome: mayHaveRun ? "unknown" : "not_run",
        retryAfterS: getRetryAfterS(backOffLeftMs),
      },
    },
  });
}

function createFailureError(
  verdict: FailureVerdict,
  mayHaveRun: boolean,
): Error {
  const outcome = combine(verdict, mayHaveRun);
  const detail = `No complete answer from the upstream: ${verdict.reason}`;
  return new RequestProblemError(detail, {
    props: {
      problem: {
        status: verdict.reason === "timeout" ? 504 : 502,
        reason: verdict.reason,
        detail,
        outcome,
        retryAfterS: 1,
      },
    },
  });
}
