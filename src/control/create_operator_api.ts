/**
 * The resource interface: what operators read, change and watch.
 *
 * @module
 */

import type { FastifyInstance, FastifyReply, FastifyRequest } from "fastify";
import {
  hashSecret,
  isSameSecret,
  parseBearer,
  sendProblem,
} from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  type Resource,
  RESOURCE_KINDS,
  type ResourceChange,
  type ResourceKind,
  SYSTEM_KINDS,
} from "../model/index.ts";
import {
  type ChangeCommand,
  type ChangeResult,
  getChangesSince,
  getResourceKey,
  listResources,
  type ResourceState,
} from "../resources/index.ts";
import { ProposalRefusedError } from "./control_error.ts";
import type { FleetView } from "./create_fleet_view.ts";
import { explainResource } from "./explain_resource.ts";
import type { Replica } from "./create_replica.ts";

/** Bytes that may wait for a slow watcher; then its watch ends. */
const MAX_WATCH_BYTES = 4 * 1024 * 1024;

/** Ms between two bookmarks of a watch. */
const BOOKMARK_INTERVAL_MS = 5_000;

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

interface Watcher {
  readonly reply: FastifyReply;
  readonly kind: string | undefined;
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
  const watchers = new Set<Watcher>();

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
      startWatch(reply, {
        kind: request.query.kind,
        since: Number(request.query.since ?? getResources().revision),
      });
    },
  );

  server.get("/v1/status", async (_request, reply) => {
    if (!await confirm(reply)) return reply;
    return getStatus(options);
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
      await sendNotLeader(reply, options);
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
      return await sendUndecided(reply, { error, options });
    }
    log(result.accepted ? "changeAccepted" : "changeConflict", {
      kind: fields.kind,
      name: fields.name,
      ...result,
    });
    return sendChangeResult(reply, result);
  }

  function startWatch(
    reply: FastifyReply,
    from: { kind: string | undefined; since: number },
  ): void {
    reply.hijack();
    const { raw } = reply;
    raw.writeHead(200, { "content-type": "application/x-ndjson" });
    raw.flushHeaders();
    const state = getResources();
    const changes = getChangesSince(state, from.since);
    if (!changes) {
      const { revision } = state;
      raw.end(`${JSON.stringify({ type: "relist", revision })}\n`);
      return;
    }
    const watcher = { reply, kind: from.kind };
    for (const past of changes) writeChange(watcher, past);
    watchers.add(watcher);
    raw.on("close", () => watchers.delete(watcher));
  }

  function writeChange(watcher: Watcher, news: ResourceChange): void {
    if (watcher.kind !== undefined && watcher.kind !== news.kind) return;
    writeLine(watcher, { type: "change", ...news });
  }

  function writeLine(watcher: Watcher, value: unknown): void {
    const { raw } = watcher.reply;
    if (raw.writableLength > MAX_WATCH_BYTES) {
      watchers.delete(watcher);
      raw.destroy();
      return;
    }
    raw.write(`${JSON.stringify(value)}\n`);
  }

  const bookmarks = setInterval(() => {
    const { revision } = getResources();
    for (const watcher of watchers) {
      writeLine(watcher, { type: "bookmark", revision });
    }
  }, BOOKMARK_INTERVAL_MS);
  server.addHook("onClose", (_server, done) => {
    clearInterval(bookmarks);
    done();
  });

  return {
    publishChange(news) {
      metrics.count("control.changes");
      for (const watcher of watchers) writeChange(watcher, news);
    },
    closeWatches() {
      for (const { reply } of watchers) reply.raw.end();
      watchers.clear();
    },
  };
}

function isKind(kind: string): kind is ResourceKind {
  return (RESOURCE_KINDS as string[]).includes(kind);
}

function findOperator(
  request: FastifyRequest,
  options: CreateOperatorApiOptions,
): { name: string; role: "admin" | "viewer" } | undefined {
  const token = parseBearer(request.headers.authorization);
  if (token === undefined) return undefined;
  const hash = hashSecret(token);
  const operators = listResources(options.getResources(), "operator");
  const known = operators.find(({ spec }) =>
    isSameSecret(hash, spec.tokenSha256)
  );
  if (known) return { name: known.name, role: known.spec.role };
  const { bootstrapTokenSha256 = "" } = options;
  const first = operators.length === 0 &&
    isSameSecret(hash, bootstrapTokenSha256);
  return first ? { name: "bootstrap", role: "admin" } : undefined;
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

function sendBadChange(reply: FastifyReply, detail: string): FastifyReply {
  return sendProblem(reply, {
    status: 400,
    reason: "bad_request",
    detail,
    outcome: "not_run",
  });
}

function sendNotFound(reply: FastifyReply, what: string): FastifyReply {
  return sendProblem(reply, {
    status: 404,
    reason: "not_found",
    detail: `There is no ${what}`,
    outcome: "not_run",
  });
}

function sendNotLeader(
  reply: FastifyReply,
  options: CreateOperatorApiOptions,
): FastifyReply {
  return sendProblem(reply, {
    status: 503,
    reason: "not_leader",
    detail: "This control process does not lead",
    outcome: "not_run",
    retryAfterS: 1,
    extra: { leaderAddress: options.getLeaderAddress() },
  });
}

// A proposal that was never taken did not run; one that was taken may yet be.
function sendUndecided(
  reply: FastifyReply,
  failed: { error: unknown; options: CreateOperatorApiOptions },
): FastifyReply {
  const { error, options } = failed;
  if (error instanceof ProposalRefusedError) {
    return sendNotLeader(reply, options);
  }
  return sendProblem(reply, {
    status: 503,
    reason: "undecided",
    detail: "The change may be accepted yet; send it again with its Change-Id",
    outcome: "unknown",
    retryAfterS: 1,
    extra: { leaderAddress: options.getLeaderAddress() },
  });
}

function sendChangeResult(
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

function withStatus(resource: Resource, options: CreateOperatorApiOptions) {
  const state = options.getResources();
  const membership = options.view.getState();
  const explanations = explainResource(resource, { state, membership });
  return {
    ...resource,
    status: { inForce: explanations.length === 0, explanations },
  };
}

function listLive(
  kind: string,
  options: CreateOperatorApiOptions,
): readonly unknown[] | undefined {
  const { view } = options;
  if (kind === "entry") return Object.values(view.getState().entries);
  if (kind !== "upstream") return undefined;
  return listResources(options.getResources(), "pool").flatMap((pool) =>
    pool.spec.upstreams.map((upstream) => ({
      ...upstream,
      pool: pool.name,
      vmState: view.getPlatformState(upstream.vm),
    }))
  );
}

function getStatus(options: CreateOperatorApiOptions) {
  const { replica, view, getResources, vm } = options;
  const state = replica.getState();
  const { revision } = getResources();
  const live = Object.values(view.getState().entries)
    .filter((entry) => entry.listed);
  const lagging = live.filter((entry) => entry.revision < revision);
  return {
    leader: vm,
    term: state.term,
    commitIndex: state.commitIndex,
    acceptedRevision: revision,
    inForceRevision: Math.min(revision, ...live.map((entry) => entry.revision)),
    lagging: lagging.map((entry) => ({
      vm: entry.vm,
      revision: entry.revision,
    })),
    members: state.members.map((member) => ({
      ...member,
      matchIndex: member.id === state.selfId
        ? state.syncedIndex
        : state.peers[member.id]?.matchIndex ?? 0,
    })),
    entries: live.map((entry) => ({
      vm: entry.vm,
      place: entry.place,
      address: entry.address,
      revision: entry.revision,
      inFlight: entry.report.inFlight,
      leaving: entry.leaving,
    })),
    diskFull: replica.isDiskFull(),
  };
}
