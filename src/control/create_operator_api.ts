/**
 * The resource interface: what operators read, change and watch.
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
  sendBadChange,
  sendChangeResult,
  sendNotFound,
  sendNotLeader,
  sendUndecided,
} from "./send_change_answer.ts";

/** What the interface needs of its program. */
export interface CreateOperatorApiOptions {
  readonly server: FastifyInstance;
  readonly replica: Replica;
  readonly view: FleetView;
  readonly getResources: () => ResourceState;
  /** Address of the leader's interface; empty where it is not known. */
  readonly getLeaderAddress: () => string;
  readonly bootstrapTokenSha256?: string;
  readonly vm: string;
  readonly isReady: () => boolean;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** The interface's side towards the program. */
export interface OperatorApi {
  publishChange(change: ResourceChange): void;
  /** Ends all watches; they resume by revision elsewhere. */
  closeWatches(): void;
}

interface ResourceParams {
  readonly kind: ResourceKind;
  readonly name: string;
}

/**
 * Adds the resource interface to a server.
 *
 * @param options - The server, the replica and the fleet view.
 * @returns Where changes are published.
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
    const writes = request.method !== "GET";
    const refused = !operator || (writes && operator.role !== "admin");
    if (!refused) return;
    log("operatorRefused", { url: request.url, method: request.method });
    await sendProblem(reply, {
      status: operator ? 403 : 401,
      reason: operator ? "forbidden" : "unknown_token",
      detail: operator
        ? "This operator may only read"
        : "The token belongs to no operator",
      outcome: "not_run",
    });
  });

  server.get<{ Params: { kind: string } }>(
    "/v1/resources/:kind",
    async (request, reply) => {
      const { kind } = request.params;
      if (!await confirm(reply)) return reply;
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
      if (!await confirm(reply)) return reply;
      const key = getResourceKey(kind, name);
      const resource = getResources().resources.get(key);
      if (!resource) return sendNotFound(reply, key);
      return withStatus(resource, options);
    },
  );

  server.put<{
    Params: ResourceParams;
    Body: { spec: unknown; revision?: number };
  }>("/v1/resources/:kind/:name", (request, reply) =>
    change(request, reply, {
      action: "put",
      ...request.params,
      spec: request.body?.spec,
      expectedRevision: request.body?.revision ?? 0,
    }));

  server.delete<{
    Params: ResourceParams;
    Querystring: { revision?: string };
  }>("/v1/resources/:kind/:name", (request, reply) =>
    change(request, reply, {
      action: "delete",
      ...request.params,
      expectedRevision: Number(request.query.revision ?? 0),
    }));

  server.get<{ Querystring: { kind?: string; since?: string } }>(
    "/v1/watch",
    async (request, reply) => {
      if (!await confirm(reply)) return reply;
      watches.start(reply, {
        kind: request.query.kind,
        since: Number(request.query.since ?? getResources().revision),
      });
    },
  );

  server.get("/v1/status", async (_request, reply) => {
    if (!await confirm(reply)) return reply;
    return getFleetStatus(options);
  });

  server.get<{ Params: ResourceParams }>(
    "/v1/explain/:kind/:name",
    async (request, reply) => {
      const { kind, name } = request.params;
      if (!await confirm(reply)) return reply;
      const state = getResources();
      const key = getResourceKey(kind, name);
      const resource = state.resources.get(key);
      if (!resource) return sendNotFound(reply, key);
      const membership = view.getState();
      return { explanations: explainResource(resource, { state, membership }) };
    },
  );

  server.post("/v1/leader/transfer", async (_request, reply) => {
    if (!await confirm(reply)) return reply;
    replica.transferLeadership();
    return { asked: true };
  });

  async function confirm(reply: FastifyReply): Promise<boolean> {
    try {
      await replica.confirmRead();
      return true;
    } catch {
      await sendNotLeader(reply, options.getLeaderAddress());
      return false;
    }
  }

  type ChangeFields = Omit<ChangeCommand, "type" | "changeId" | "operator">;

  async function change(
    request: FastifyRequest,
    reply: FastifyReply,
    fields: ChangeFields,
  ): Promise<FastifyReply> {
    const changeId = request.headers["change-id"];
    const refusal = findChangeRefusal(fields, changeId);
    if (refusal) return sendBadChange(reply, refusal);
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
      return await sendUndecided(reply, {
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
    publishChange(news) {
      metrics.count("control.changes");
      watches.publish(news);
    },
    closeWatches: watches.closeAll,
  };
}

function isKind(kind: string): kind is ResourceKind {
  return (RESOURCE_KINDS as string[]).includes(kind);
}

function findChangeRefusal(
  fields: { kind: ResourceKind; expectedRevision: number },
  changeId: unknown,
): string | undefined {
  if (!isKind(fields.kind)) return `There is no kind ${fields.kind}`;
  if (SYSTEM_KINDS.includes(fields.kind)) {
    return `Control itself writes ${fields.kind}`;
  }
  const isRevision = Number.isInteger(fields.expectedRevision) &&
    fields.expectedRevision >= 0;
  if (!isRevision) return "The revision must be a whole number from 0";
  const hasId = typeof changeId === "string" && changeId.length > 0 &&
    changeId.length <= 200;
  return hasId ? undefined : "The Change-Id header is missing or too long";
}
