/**
 * Operator API for requests that are held back because they may crash upstreams.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply } from "fastify";
import type { FleetCall, FleetReply } from "./messages.ts";

/** Lists suspected requests; a DELETE below it releases one of them. */
const QUARANTINE_PATH = "/v1/quarantine";

/**
 * Adds the quarantine routes to a control process's HTTP server.
 *
 * @param api - The server.
 * @param options - The function that answers calls, here or through the leader.
 * @returns Nothing.
 * @throws Nothing.
 * @example
 * addQuarantineRoutes(api, { call: control.call });
 */
export function addQuarantineRoutes(
  api: FastifyInstance,
  options: { readonly call: (call: FleetCall) => Promise<FleetReply> },
): void {
  const { call } = options;
  api.get(QUARANTINE_PATH, async (_request, reply) => {
    const answer = await call({ type: "listCases" });
    if (answer.type !== "cases") return refuse(reply, answer);
    return reply.code(200).send({ cases: answer.cases });
  });
  api.delete(`${QUARANTINE_PATH}/:requestKey`, async (request, reply) => {
    const { requestKey } = request.params as { requestKey: string };
    const answer = await call({ type: "liftCase", requestKey });
    if (answer.type !== "done") return refuse(reply, answer);
    return reply.code(200).send({});
  });
}

// 503, so that the client retries: another control process may know the leader, or
// this one may learn of it shortly.
function refuse(reply: FastifyReply, answer: FleetReply): FastifyReply {
  const title = answer.type === "unavailable" ? answer.reason : answer.type;
  return reply.code(503).send({ reason: "not_leader", title });
}
