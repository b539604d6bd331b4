/**
 * The operators' calls about requests that are held back.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply } from "fastify";
import type { FleetCall, FleetReply } from "./messages.ts";

/** Where requests under suspicion are listed, and each of them lifted. */
const QUARANTINE_PATH = "/v1/quarantine";

/**
 * Adds the calls to a control process's server.
 *
 * @param api - The server.
 * @param options - Who answers calls.
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

// Another control process may know the leader, or this one in a moment.
function refuse(reply: FastifyReply, answer: FleetReply): FastifyReply {
  const title = answer.type === "unavailable" ? answer.reason : answer.type;
  return reply.code(503).send({ reason: "not_leader", title });
}
