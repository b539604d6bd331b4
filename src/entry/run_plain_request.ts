/**
 * Runs a request at a plain service: chooses, sends, tries again.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import type { Readable } from "node:stream";
import { readBackOffMs, readRateLimit } from "../http/index.ts";
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
import { chooseUpstream, findBackOffLeftMs } from "../routing/index.ts";
import {
  DispatchError,
  getFailure,
  saidNotRun,
  type UpstreamAnswer,
  type UpstreamClient,
} from "../upstreams/index.ts";
import type { KnownUpstream, UpstreamTable } from "./create_upstream_table.ts";
import { RequestProblemError } from "./entry_error.ts";
import { getRetryAfterS } from "./get_retry_after_s.ts";
import { noteBackOff } from "./note_back_off.ts";
import type { RequestContext } from "./request_context.ts";

/** What the caller sent. */
export interface PlainCall {
  readonly method: string;
  /** Path at the service, with its query. */
  readonly path: string;
  readonly headers: Record<string, string | string[]>;
  readonly body: Uint8Array | undefined;
}

/** The answer for the caller: whole, or a stream whose end is yet to come. */
export interface PlainAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly upstream: string;
  readonly outcome: Outcome;
  readonly body: Buffer | Readable;
}

/** What a run needs of its program. */
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

/** Answers up to this size, in bytes, are read whole before they go on. */
export const MAX_WHOLE_BYTES = 256 * 1024;

/** Time, in ms, that a request must have had before its timeout counts. */
export const MIN_BLAMED_TIMEOUT_MS = 1_000;

/** Statuses that say a gateway or an overload stood before the service. */
const RETRYABLE_STATUSES = new Set([502, 503, 504]);

/** A failed try and what it means. */
interface FailedTry {
  readonly verdict: FailureVerdict;
  /** The upstream's own answer, to pass on where it is not tried again. */
  readonly answer?: PlainAnswer;
}

/**
 * Makes what runs requests at plain services.
 *
 * @param options - The upstreams and the client for them.
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
      const upstream = chooseUpstream(table.list(service.spec.pool), {
        nowMs: now(),
        random: random(),
        exclude: tried,
      }) as KnownUpstream | undefined;
      if (!upstream) {
        const backOffLeftMs = getBackOffLeftMs(service.spec.pool);
        throw refuseNoUpstream({ mayHaveRun, backOffLeftMs });
      }
      tried.add(upstream.name);
      context.note(`try ${tries} at ${upstream.name}`);
      const result = await tryOnce(context, { call, upstream });
      if (!("verdict" in result)) return result;
      const { verdict, answer } = result;
      mayHaveRun ||= verdict.outcome !== "not_run";
      const afterMs = decide(context, { verdict, tries, answer });
      if (afterMs === undefined) {
        if (answer) return { ...answer, outcome: worst(verdict, mayHaveRun) };
        throw giveUp(verdict, mayHaveRun);
      }
      await sleep(afterMs);
    }
  }

  function getBackOffLeftMs(pool: string): number {
    const views = table.list(pool);
    const nowMs = now();
    const canSend = (atMs: number) =>
      chooseUpstream(views, { nowMs: atMs, random: 0 }) !== undefined;
    return findBackOffLeftMs(views, { nowMs, canSend }) ?? 0;
  }

  async function tryOnce(
    context: RequestContext,
    options: { call: PlainCall; upstream: KnownUpstream },
  ): Promise<PlainAnswer | FailedTry> {
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
      const notRun = saidNotRun(answer);
      const limitPerS = readRateLimit(answer.headers[HEADERS.rateLimit]);
      if (limitPerS !== undefined) {
        const named = notRun ? { limitPerS } : { limitPerS, sentMs };
        table.takeLimit(name, named);
      }
      const read = await readAnswer(answer, name);
      streaming = !Buffer.isBuffer(read.body);
      if (streaming) {
        (read.body as Readable).once("close", () => table.end(name));
      }
      const backOffMs = readBackOffMs(answer);
      return takeAnswer(read, { notRun, backOffMs });
    } catch (error) {
      const failure = getFailure(error);
      if (!failure) throw error;
      if (isUpstreamsFault(context, failure)) takeResult(name, false);
      return { verdict: classifyFailure(failure) };
    } finally {
      if (!streaming) table.end(name);
    }
  }

  // A caller that goes away, or gives too little time, says nothing about the
  // upstream.
  function isUpstreamsFault(
    context: RequestContext,
    failure: DispatchFailure,
  ): boolean {
    if (context.signal.aborted) return false;
    const givenMs = context.deadlineMs - context.startedMs;
    return failure.fault !== "timeout" || givenMs >= MIN_BLAMED_TIMEOUT_MS;
  }

  function takeAnswer(
    answer: PlainAnswer,
    { notRun, backOffMs }: { notRun: boolean; backOffMs: number | undefined },
  ): PlainAnswer | FailedTry {
    const { status, upstream } = answer;
    if (backOffMs !== undefined) noteBackOff(upstream, backOffMs, options);
    else takeResult(upstream, status < 500);
    if (status < 500 && !notRun) return answer;
    const verdict = classifyFailure({
      phase: "answering",
      fault: "upstream_said",
      status,
      saidNotRun: notRun,
    });
    return { verdict, answer };
  }

  function takeResult(upstream: string, succeeded: boolean): void {
    const ejected = table.takeResult(upstream, succeeded);
    if (!ejected) return;
    metrics.count("upstream.ejected");
    log("upstreamEjected", { upstream });
  }

  // The wait before the next try, or undefined where there is none.
  function decide(
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
      context.note(`not tried again: ${decision.why}`);
      return undefined;
    }
    const { name } = context.service;
    const left = spendRetry(budgets.get(name) ?? createRetryBudget());
    if (!left) {
      metrics.count("retry.budget_spent");
      context.note("not tried again: the budget is spent");
      return undefined;
    }
    budgets.set(name, left);
    noteRetry(context, verdict.reason);
    if (answer && !Buffer.isBuffer(answer.body)) answer.body.destroy();
    return decision.afterMs;
  }

  function noteRetry(context: RequestContext, reason: RetryReason): void {
    metrics.countRetry(reason);
    context.note(`tried again: ${reason}`);
    const { requestId, service } = context;
    log("upstreamRetry", { requestId, service: service.name, reason });
  }

  return { run };
}

async function readAnswer(
  answer: UpstreamAnswer,
  upstream: string,
): Promise<PlainAnswer> {
  const { status, headers, body } = answer;
  const outcome: Outcome = "done";
  const sizeBytes = Number(headers["content-length"] ?? NaN);
  if (!(sizeBytes <= MAX_WHOLE_BYTES)) {
    return { status, headers, upstream, outcome, body };
  }
  try {
    const chunks: Buffer[] = [];
    for await (const chunk of body) chunks.push(chunk as Buffer);
    const whole = Buffer.concat(chunks);
    return { status, headers, upstream, outcome, body: whole };
  } catch (cause) {
    const failure: DispatchFailure = { phase: "answering", fault: "reset" };
    throw new DispatchError(`The answer of ${upstream} was cut`, {
      cause,
      props: { failure },
    });
  }
}

function worst(verdict: FailureVerdict, mayHaveRun: boolean): Outcome {
  return verdict.outcome === "not_run" && mayHaveRun
    ? "unknown"
    : verdict.outcome;
}

// Where upstreams are backed off, it is known until when: callers are told.
function refuseNoUpstream(
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

function giveUp(verdict: FailureVerdict, mayHaveRun: boolean): Error {
  const outcome = worst(verdict, mayHaveRun);
  const detail = `The upstream's answer did not come: ${verdict.reason}`;
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
