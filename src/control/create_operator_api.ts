/**
 * The resource API, with which operators read, change and watch resources.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import { sendProblem } from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  RESOURCE_KINDS,
  type ResourceChange,
  type ResourceKind,
  SYSTEM_KINDS,
} from "../model/index.ts";
import {
  type ChangeCommand,
  type ChangeResult,
  getResourceKey,
  listResources,
  type ResourceState,
} from "../resources/index.ts";
import type { FleetView } from "./create_fleet_view.ts";
import type { Replica } from "./create_replica.ts";
import { createWatchHub } from "./create_watch_hub.ts";
import { explainResource } from "./explain_resource.ts";
import { findOperator } from "./find_operator.ts";
import { getFleetStatus, listLive, withStatus } from "./get_fleet_status.ts";
import {
  sendChangeResult,
  sendInvalidChange,
  sendNotFound,
  sendNotLeader,
  sendProposalError,
} from "./send_change_result.ts";

/** Options of {@link createOperatorApi}. */
export interface CreateOperatorApiOptions {
  readonly server: FastifyInstance;
  readonly replica: Replica;
  readonly view: FleetView;
  readonly getResources: () => ResourceState;
  /** Address of the leader's resource API; empty if unknown. */
  readonly getLeaderAddress: () => string;
  readonly bootstrapTokenSha256?: string;
  readonly vm: string;
  readonly isReady: () => boolean;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** The functions with which the program notifies the API. */
export interface OperatorApi {
  publishChange(change: ResourceChange): void;
  /** Closes all watches; clients resume by revision at another replica. */
  closeWatches(): void;
}

interface ResourceParams {
  readonly kind: ResourceKind;
  readonly name: string;
}

/**
 * Registers the resource API's routes on a server.
 *
 * @param options - The server, the replica and the fleet view.
 * @returns The functions that publish changes and close watches.
 * @throws Nothing.
 * @example
 * const api = createOperatorApi(options);
 */
export function createOperatorApi(
  options: CreateOperatorApiOptions,
): OperatorApi {
  const { server, replica, view, getResources, log, metrics } = options;
  const watches = createWatchHub({ server, getResources });

  server.get("/healthz", () => ({ ok: true }));
  server.get("/readyz", (_request, reply) => {
    if (!options.isReady()) reply.code(503);
    return { ready: options.isReady() };
  });
  server.get("/v1/counters", () => metrics.getCounters());
  server.addHook("preHandler", async (request, reply) => {
    if (!request.url.startsWith("/v1/") || request.url === "/v1/counters") {
      return;
    }
    const operator = findOperator(request, options);
    const isWrite = request.method !== "GET";
    const isDenied = !operator || (isWrite && operator.role !== "admin");
    if (!isDenied) return;
    log("operatorRefused", { url: request.url, method: request.method });
    await sendProblem(reply, {
      status: operator ? 403 : 401,
      reason: operator ? "forbidden" : "unknown_token",
      detail: operator
        ? "The operator's role permits only reads"
        : "The token doesn't belong to any operator",
      outcome: "not_run",
    });
  });

  server.get<{ Params: { kind: string } }>(
    "/v1/resources/:kind",
    async (request, reply) => {
      const { kind } = request.params;
      if (!await confirmRead(reply)) return reply;
      const live = listLive(kind, options);
      if (live) return { revision: getResources().revision, items: live };
      if (!isKind(kind)) return sendNotFound(reply, `kind ${kind}`);
      const state = getResources();
      const items = listResources(state, kind)
        .map((resource) => withStatus(resource, options));
      return { revision: state.revision, items };
    },
  );

  server.get<{ Params: ResourceParams }>(
    "/v1/resources/:kind/:name",
    async (request, reply) => {
      const { kind, name } = request.params;
      if (!await confirmRead(reply)) return reply;
      const key = getResourceKey(kind, name);
      const resource = getResources().resources.get(key);
      if (!resource) return sendNotFound(reply, key);
      return withStatus(resource, options);
    },
  );

  server.put<{
    Params: ResourceParams;
    Body: { spec: unknown; revision?: number };
  }>(
    "/v1/resources/:kind/:name",
    (request, reply) =>
      submitChange(request, reply, {
        action: "put",
        ...request.params,
        spec: request.body?.spec,
        expectedRevision: request.body?.revision ?? 0,
      }),
  );

  server.delete<{
    Params: ResourceParams;
    Querystring: { revision?: string };
  }>(
    "/v1/resources/:kind/:name",
    (request, reply) =>
      submitChange(request, reply, {
        action: "delete",
        ...request.params,
        expectedRevision: Number(request.query.revision ?? 0),
      }),
  );

  server.get<{ Querystring: { kind?: string; since?: string } }>(
    "/v1/watch",
    async (request, reply) => {
      if (!await confirmRead(reply)) return reply;
      watches.start(reply, {
        kind: request.query.kind,
        since: Number(request.query.since ?? getResources().revision),
      });
    },
  );

  server.get("/v1/status", async (_request, reply) => {
    if (!await confirmRead(reply)) return reply;
    return getFleetStatus(options);
  });

  server.get<{ Params: ResourceParams }>(
    "/v1/explain/:kind/:name",
    async (request, reply) => {
      const { kind, name } = request.params;
      if (!await confirmRead(reply)) return reply;
      const state = getResources();
      const key = getResourceKey(kind, name);
      const resource = state.resources.get(key);
      if (!resource) return sendNotFound(reply, key);
      const membership = view.getState();
      return { explanations: explainResource(resource, { state, membership }) };
    },
  );

  server.post("/v1/leader/transfer", async (_request, reply) => {
    if (!await confirmRead(reply)) return reply;
    replica.transferLeadership();
    return { asked: true };
  });

  async function confirmRead(reply: FastifyReply): Promise<boolean> {
    try {
      await replica.confirmRead();
      return true;
    } catch {
      await sendNotLeader(reply, options.getLeaderAddress());
      return false;
    }
  }

  type ChangeFields = Omit<ChangeCommand, "type" | "changeId" | "operator">;

  async function submitChange(
    request: FastifyRequest,
    reply: FastifyReply,
    fields: ChangeFields,
  ): Promise<FastifyReply> {
    const changeId = request.headers["change-id"];
    const problem = findChangeProblem(fields, changeId);
    if (problem) return sendInvalidChange(reply, problem);
    const command: ChangeCommand = {
      type: "change",
      changeId: String(changeId),
      operator: findOperator(request, options)?.name ?? "",
      ...fields,
    };
    let result: ChangeResult;
    try {
      result = await replica.propose(JSON.stringify(command)) as ChangeResult;
    } catch (error) {
      return await sendProposalError(reply, {
        error,
        leaderAddress: options.getLeaderAddress(),
      });
    }
    log(result.accepted ? "changeAccepted" : "changeConflict", {
      kind: fields.kind,
      name: fields.name,
      ...result,
    });
    return sendChangeResult(reply, result);
  }

  return {
    publishChange(change) {
      metrics.count("control.changes");
      watches.publish(change);
    },
    closeWatches: watches.closeAll,
  };
}

function isKind(kind: string): kind is ResourceKind {
  return (RESOURCE_KINDS as string[]).includes(kind);
}

function findChangeProblem(
  fields: { kind: ResourceKind; expectedRevision: number },
  changeId: unknown,
): string | undefined {
  if (!isKind(fields.kind)) return `Unknown resource kind ${fields.kind}`;
  if (SYSTEM_KINDS.includes(fields.kind)) {
    return `Resources of kind ${fields.kind} are written only by control`;
  }
  const isRevision = Number.isInteger(fields.expectedRevision) &&
    fields.expectedRevision >= 0;
  if (!isRevision) return "The revision must be a non-negative integer";
  const hasId = typeof changeId === "string" && changeId.length > 0 &&
    changeId.length <= 200;
  return hasId
    ? undefined
    : "The Change-Id header must have 1 to 200 characters";
}
