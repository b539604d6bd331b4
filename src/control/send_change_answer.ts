/**
 * How the resource interface answers.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import { sendProblem } from "../http/index.ts";
import type { ChangeResult } from "../resources/index.ts";
import { ProposalRefusedError } from "./control_error.ts";

/**
 * Turns a change down that makes no sense.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param detail - What is wrong.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendBadChange(reply, detail);
 */
export function sendBadChange(
  reply: FastifyReply,
  detail: string,
): FastifyReply {
  return sendProblem(reply, {
    status: 400,
    reason: "bad_request",
    detail,
    outcome: "not_run",
  });
}

/**
 * Says that something is not there.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param what - What was asked for.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendNotFound(reply, what);
 */
export function sendNotFound(reply: FastifyReply, what: string): FastifyReply {
  return sendProblem(reply, {
    status: 404,
    reason: "not_found",
    detail: `There is no ${what}`,
    outcome: "not_run",
  });
}

/**
 * Says that this process does not lead, and who does.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param leaderAddress - Address of the leader's interface; empty where it is not known.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendNotLeader(reply, leaderAddress);
 */
export function sendNotLeader(
  reply: FastifyReply,
  leaderAddress: string,
): FastifyReply {
  return sendProblem(reply, {
    status: 503,
    reason: "not_leader",
    detail: "This control process does not lead",
    outcome: "not_run",
    retryAfterS: 1,
    extra: { leaderAddress },
  });
}

/**
 * Says what a failed proposal means: one that was never taken did not run, one that was taken may yet be accepted.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param failed - The error, and the leader's address.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendUndecided(reply, failed);
 */
export function sendUndecided(
  reply: FastifyReply,
  failed: { error: unknown; leaderAddress: string },
): FastifyReply {
  const { error, leaderAddress } = failed;
  if (error instanceof ProposalRefusedError) {
    return sendNotLeader(reply, leaderAddress);
  }
  return sendProblem(reply, {
    status: 503,
    reason: "undecided",
    detail: "The change may be accepted yet; send it again with its Change-Id",
    outcome: "unknown",
    retryAfterS: 1,
    extra: { leaderAddress },
  });
}

/**
 * Answers a change.
 *
 * @param reply - The reply, of which nothing was sent yet.
 * @param result - What became of it.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendChangeResult(reply, result);
 */
export function sendChangeResult(
  reply: FastifyReply,
  result: ChangeResult,
): FastifyReply {
  if (result.accepted) return reply.code(200).send(result);
  const { reason, detail, currentRevision, differs } = result;
  const status = {
    conflict: 409,
    change_id_reused: 409,
    not_found: 404,
    invalid: 422,
  };
  return sendProblem(reply, {
    status: status[reason],
    reason,
    detail,
    outcome: "not_run",
    extra: { currentRevision, differs },
  });
}
