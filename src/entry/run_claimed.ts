/**
 * Runs what must not run twice under a claim.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { REFUSAL_REASONS, type RefusalReason } from "../metrics/index.ts";
import type { Outcome } from "../model/index.ts";
import type { Agent, BegunClaim, ClaimAnswer } from "./create_agent.ts";
import { getProblem, RequestProblemError } from "./entry_error.ts";
import type { RequestContext } from "./request_context.ts";

/** A whole answer that a claim remembers. */
export interface ClaimedAnswer {
  readonly outcome: Outcome;
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Answers up to this size, in bytes, are kept with the claim. */
export const MAX_KEPT_BYTES = 16 * 1024;

/** Ms between two looks at a claim that is running elsewhere. */
const RUNNING_POLL_MS = 200;

/** Time, in ms, for which a repeat waits for the running answer. */
const RUNNING_WAIT_MS = 10_000;

/** What a claimed run needs. */
export interface RunClaimedOptions {
  readonly agent: Agent;
  readonly requestHash: string;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly countRefusal: (reason: RefusalReason) => void;
  /** Runs the request; called at most once. */
  readonly run: () => Promise<ClaimedAnswer>;
}

/** A claimed run's answer, and whether it was kept from an earlier run. */
export interface ClaimedResult {
  readonly answer: ClaimedAnswer;
  readonly replayed: boolean;
}

/**
 * Runs a request under a claim, or gives what became of the earlier run.
 *
 * The claim is durable on a quorum before the request is sent. Where there is
 * no quorum, the request does not run.
 *
 * @param context - The request; it has an idempotency key.
 * @param options - The agent, the request's hash, and what runs it.
 * @returns The answer.
 * @throws {RequestProblemError} Where it does not run, or may have run
 * elsewhere.
 * @example
 * const { answer } = await runClaimed(context, options);
 */
export async function runClaimed(
  context: RequestContext,
  options: RunClaimedOptions,
): Promise<ClaimedResult> {
  const { agent, run } = options;
  const name = {
    clientAccount: context.account.name,
    key: context.idempotencyKey ?? "",
  };
  const { attempt, answer: claim } = await waitForClaim(context, options);
  context.note(`claim ${claim.verdict}`);
  if (claim.verdict === "ended") {
    const { outcome, status, contentType, body } = claim;
    return { answer: { outcome, status, contentType, body }, replayed: true };
  }
  if (claim.verdict !== "granted") {
    // A claim that control may have recorded unseen is given back.
    if (claim.verdict === "unavailable") {
      agent.endClaim({ ...name, attempt, ...RELEASED });
    }
    throw describeClaim(claim, options);
  }
  let ending: ClaimedAnswer = { ...RELEASED, outcome: "unknown" };
  try {
    ending = await run();
    return { answer: ending, replayed: false };
  } catch (error) {
    ending = { ...RELEASED, outcome: getProblem(error)?.outcome ?? "unknown" };
    throw error;
  } finally {
    const keep = ending.body.length <= MAX_KEPT_BYTES;
    const body = keep ? ending.body : "";
    agent.endClaim({ ...name, attempt, ...ending, body });
  }
}

/**
 * Tells whether a request may run only under a claim.
 *
 * @param context - The request.
 * @returns Whether it must not run twice and somebody may send it again.
 * @throws Nothing.
 * @example
 * if (needsClaim(context)) await runClaimed(context, options);
 */
export function needsClaim(context: RequestContext): boolean {
  return !context.repeatable && context.idempotencyKey !== undefined;
}

const RELEASED: ClaimedAnswer = {
  outcome: "not_run",
  status: 503,
  contentType: "",
  body: "",
};

async function waitForClaim(
  context: RequestContext,
  options: RunClaimedOptions,
): Promise<BegunClaim> {
  const { agent, now, requestHash } = options;
  const untilMs = Math.min(context.deadlineMs, now() + RUNNING_WAIT_MS);
  while (true) {
    const begun = await agent.beginClaim({
      clientAccount: context.account.name,
      key: context.idempotencyKey ?? "",
      requestHash,
    });
    const waits = begun.answer.verdict === "running" &&
      !context.signal.aborted &&
      now() + RUNNING_POLL_MS < untilMs;
    if (!waits) return begun;
    await sleep(RUNNING_POLL_MS);
  }
}

function describeClaim(
  claim: ClaimAnswer,
  options: RunClaimedOptions,
): Error {
  const { status, reason, outcome } = CLAIM_PROBLEMS[
    claim.verdict as keyof typeof CLAIM_PROBLEMS
  ];
  options.countRefusal(reason);
  const detail = REFUSAL_REASONS[reason];
  const problem = { status, reason, detail, outcome, retryAfterS: 1 };
  return new RequestProblemError(detail, { props: { problem } });
}

const CLAIM_PROBLEMS = {
  running: { status: 409, reason: "claim_running", outcome: "unknown" },
  unknown: { status: 409, reason: "claim_unknown", outcome: "unknown" },
  mismatch: { status: 422, reason: "claim_mismatch", outcome: "not_run" },
  unavailable: { status: 503, reason: "no_quorum", outcome: "not_run" },
} as const;
