/**
 * Runs requests that must not run twice under a claim on their idempotency key.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { REFUSAL_REASONS, type RefusalReason } from "../metrics/index.ts";
import type { Outcome } from "../model/index.ts";
import type { Agent, ClaimAnswer, ClaimAttempt } from "./create_agent.ts";
import { getProblem, RequestProblemError } from "./entry_error.ts";
import type { RequestContext } from "./request_context.ts";

/** A complete answer, as stored with a claim. */
export interface ClaimedAnswer {
  readonly outcome: Outcome;
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** Largest answer, in bytes, that is stored with a claim. */
export const MAX_STORED_BYTES = 16 * 1024;

/** Polling interval, in ms, for a claim that is running elsewhere. */
const CLAIM_POLL_MS = 200;

/** Longest time, in ms, that a duplicate waits for the answer of the running request. */
const CLAIM_WAIT_MS = 10_000;

/** Options of {@link runClaimed}. */
export interface RunClaimedOptions {
  readonly agent: Agent;
  readonly requestHash: string;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  readonly countRefusal: (reason: RefusalReason) => void;
  /** Runs the request; called at most once. */
  readonly run: () => Promise<ClaimedAnswer>;
}

/** The answer of a claimed request, and whether it is replayed from an earlier run. */
export interface ClaimedResult {
  readonly answer: ClaimedAnswer;
  readonly replayed: boolean;
}

/**
 * Runs a request under a claim, or returns the stored answer of an earlier run.
 *
 * The claim is durable on a quorum before the request is sent. Without a quorum the
 * request does not run.
 *
 * @param context - The request; it must have an idempotency key.
 * @param options - The agent, the request's hash and the function that runs it.
 * @returns The answer.
 * @throws {RequestProblemError} If it does not run, or may have run
 * elsewhere.
 * @example
 * const { answer } = await runClaimed(context, options);
 */
export async function runClaimed(
  context: RequestContext,
  options: RunClaimedOptions,
): Promise<ClaimedResult> {
  const { agent, run } = options;
  const claimId = {
    clientAccount: context.account.name,
    key: context.idempotencyKey ?? "",
  };
  const { attempt, answer: claim } = await waitForClaim(context, options);
  context.addStep(`claim ${claim.verdict}`);
  if (claim.verdict === "ended") {
    const { outcome, status, contentType, body } = claim;
    return { answer: { outcome, status, contentType, body }, replayed: true };
  }
  if (claim.verdict !== "granted") {
    // Control may have recorded the claim although its answer was lost: release it.
    if (claim.verdict === "unavailable") {
      agent.endClaim({ ...claimId, attempt, ...RELEASED_CLAIM });
    }
    throw createClaimError(claim, options);
  }
  let completion: ClaimedAnswer = { ...RELEASED_CLAIM, outcome: "unknown" };
  try {
    completion = await run();
    return { answer: completion, replayed: false };
  } catch (error) {
    completion = {
      ...RELEASED_CLAIM,
      outcome: getProblem(error)?.outcome ?? "unknown",
    };
    throw error;
  } finally {
    const keep = completion.body.length <= MAX_STORED_BYTES;
    const body = keep ? completion.body : "";
    agent.endClaim({ ...claimId, attempt, ...completion, body });
  }
}

/**
 * Checks whether a request may run only under a claim.
 *
 * @param context - The request.
 * @returns Whether it must not run twice and has an idempotency key.
 * @throws Nothing.
 * @example
 * if (needsClaim(context)) await runClaimed(context, options);
 */
export function needsClaim(context: RequestContext): boolean {
  return !context.repeatable && context.idempotencyKey !== undefined;
}

const RELEASED_CLAIM: ClaimedAnswer = {
  outcome: "not_run",
  status: 503,
  contentType: "",
  body: "",
};

async function waitForClaim(
  context: RequestContext,
  options: RunClaimedOptions,
): Promise<ClaimAttempt> {
  const { agent, now, requestHash } = options;
  const waitUntilMs = Math.min(context.deadlineMs, now() + CLAIM_WAIT_MS);
  while (true) {
    const begun = await agent.beginClaim({
      clientAccount: context.account.name,
      key: context.idempotencyKey ?? "",
      requestHash,
    });
    const shouldWait = begun.answer.verdict === "running" &&
      !context.signal.aborted &&
      now() + CLAIM_POLL_MS < waitUntilMs;
    if (!shouldWait) return begun;
    await sleep(CLAIM_POLL_MS);
  }
}

function createClaimError(
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
