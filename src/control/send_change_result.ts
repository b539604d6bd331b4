/**
 * Sends the responses of the resource API.
 *
 * @module
 */

import type { FastifyReply } from "fastify";
import { sendProblem } from "../http/index.ts";
import type { ChangeResult } from "../resources/index.ts";
import { ProposalRefusedError } from "./control_error.ts";

/**
 * Rejects a malformed change with status 400.
 *
 * @param reply - The reply; nothing may have been sent on it yet.
 * @param detail - The reason for the rejection.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendInvalidChange(reply, detail);
 */
export function sendInvalidChange(
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
 * Responds with 404 for something that does not exist.
 *
 * @param reply - The reply; nothing may have been sent on it yet.
 * @param what - The kind or resource that was requested.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendNotFound(reply, what);
 */
export function sendNotFound(reply: FastifyReply, what: string): FastifyReply {
  return sendProblem(reply, {
    status: 404,
    reason: "not_found",
    detail: `Not found: ${what}`,
    outcome: "not_run",
  });
}

/**
 * Responds with 503 because this replica is not the leader, and names the leader.
 *
 * @param reply - The reply; nothing may have been sent on it yet.
 * @param leaderAddress - Address of the leader's resource API; empty if unknown.
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
    detail: "This control replica is not the leader",
    outcome: "not_run",
    retryAfterS: 1,
    extra: { leaderAddress },
  });
}

/**
 * Responds to a failed proposal. A rejected proposal did not run; one that was
 * appended to the log may still be committed.
 *
 * @param reply - The reply; nothing may have been sent on it yet.
 * @param failure - The proposal's error, and the leader's address.
 * @returns The reply.
 * @throws Nothing.
 * @example
 * return sendProposalError(reply, failure);
 */
export function sendProposalError(
  reply: FastifyReply,
  failure: { error: unknown; leaderAddress: string },
): FastifyReply {
  const { error, leaderAddress } = failure;
  if (error instanceof ProposalRefusedError) {
    return sendNotLeader(reply, leaderAddress);
  }
  return sendProblem(reply, {
    status: 503,
    reason: "undecided",
    detail:
      "The change may still be accepted; retry it with the same Change-Id",
    outcome: "unknown",
    retryAfterS: 1,
    extra: { leaderAddress },
  });
}

/**
 * Responds with the result of a change.
 *
 * @param reply - The reply; nothing may have been sent on it yet.
 * @param result - The result of the change.
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
