/**
 * Starts the entry program and wires its parts together.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { closeServer, createServer } from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics, RefusalReason } from "../metrics/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";
import type { EntrySettings } from "../settings/index.ts";
import { createUpstreamClient } from "../upstreams/index.ts";
import { addCallerRoutes } from "./add_caller_routes.ts";
import { createAdmission } from "./create_admission.ts";
import { createAgent } from "./create_agent.ts";
import {
  createConfigReplica,
  getSavedConfig,
} from "./create_config_replica.ts";
import { createRequestLog } from "./create_request_log.ts";
import { createRequestTracker } from "./create_request_tracker.ts";
import { createStreamStore } from "./create_stream_store.ts";
import { createUpstreamTable } from "./create_upstream_table.ts";
import { openConfigFile } from "./open_config_file.ts";
import { type AccountIndex, createAccountIndex } from "./read_request.ts";
import { createModelRunner } from "./run_model_request.ts";
import { createPlainRunner } from "./run_plain_request.ts";
import { createCompletionServer } from "./serve_completion.ts";
import { createPlainServer } from "./serve_plain.ts";

/** A running entry. */
export interface EntryProgram {
  readonly port: number;
  /** Revision of the configuration that this entry applies. */
  getRevision(): number;
  /** Stops gracefully: requests in flight have until the drain timeout to end. */
  stop(): Promise<void>;
}

/** Options of {@link startEntry}. */
export interface StartEntryOptions {
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Interval, in ms, for updating the live state, capacity intervals and gauges. */
const REFRESH_INTERVAL_MS = 100;

/** Time, in ms, for a planned leave to reach control and the other entries. */
const LEAVE_PROPAGATION_MS = 500;

/** Time, in ms, for control to acknowledge the last claim ends. */
const CLAIM_FLUSH_TIMEOUT_MS = 5_000;

/**
 * Starts the entry program.
 *
 * @param settings - Its settings.
 * @param options - Logs and metrics.
 * @returns The running program.
 * @throws {Error} If its address is already in use.
 * @example
 * const entry = await startEntry(settings, { log, metrics });
 */
export async function startEntry(
  settings: EntrySettings,
  options: StartEntryOptions,
): Promise<EntryProgram> {
  const { log, metrics } = options;
  const now = () => performance.now();
  const random = Math.random;
  const table = createUpstreamTable({ place: settings.place, now });
  const file = settings.dataFolder === undefined
    ? undefined
    : await openConfigFile(settings.dataFolder, {
      onError: (error) => log("diskFull", { error }),
    });
  let accounts: AccountIndex = new Map();
  let leaving = false;
  let isClosed = false;

  function applyState(state: ResourceState): void {
    accounts = createAccountIndex(listResources(state, "clientAccount"));
    table.applyConfig(state);
  }

  const config = createConfigReplica({
    saved: file?.saved,
    onChange: (state) => {
      applyState(state);
      file?.write(getSavedConfig(config));
    },
  });
  applyState(config.getState());

  const server = createServer({
    limits: settings.limits,
    tls: settings.callerTls,
    log,
    onRefusal: metrics.countRefusal,
  });
  const agent = createAgent({
    settings,
    incarnation: randomBytes(6).toString("hex"),
    config,
    getReport: () => ({
      inFlight: tracker.getInFlight(),
      demandPerS: admission.getDemandPerS(),
      poolDemandPerS: admission.getPoolDemandPerS(),
    }),
    isLeaving: () => leaving,
    log,
    metrics,
    now,
    random: Math.random,
  });
  const admission = createAdmission({
    getShares: () => agent.getGrant().accounts,
    getEntryCount: () => Math.max(1, agent.getLive().entries.length),
    metrics,
    now,
  });
  const client = createUpstreamClient();
  const runnerOptions = { table, client, metrics, log, now, random };
  const requests = createRequestLog({ now });
  const streams = createStreamStore();
  const tracker = createRequestTracker({
    vm: settings.vm,
    getAccounts: () => accounts,
    requests,
    findRefusalReason,
    log,
    metrics,
    now,
  });
  const handlerOptions = {
    getState: config.getState,
    getAccounts: () => accounts,
    tracker,
    admission,
    agent,
    streams,
    log,
    metrics,
    now,
  };
  addCallerRoutes({
    server,
    vm: settings.vm,
    getState: config.getState,
    getAccounts: () => accounts,
    agent,
    servePlain: createPlainServer({
      ...handlerOptions,
      runner: createPlainRunner(runnerOptions),
    }),
    serveCompletion: createCompletionServer({
      ...handlerOptions,
      runner: createModelRunner(runnerOptions),
    }),
    streams,
    requests,
    isReady: () => config.getState().revision > 0 && !leaving,
    isLeaving: () => leaving,
    entriesTtlMs: settings.entriesTtlMs,
    metrics,
  });
  await server.listen(settings.listen);
  const { port } = server.server.address() as { port: number };
  const scheme = settings.callerTls ? "https" : "http";
  agent.start(
    settings.callerAddress ?? `${scheme}://${settings.listen.host}:${port}`,
  );

  function findRefusalReason(): RefusalReason | undefined {
    if (isClosed) return "leaving";
    if (config.getState().revision === 0) return "no_config";
    const { maxConfigAgeMs } = settings;
    const tooOld = maxConfigAgeMs > 0 &&
      agent.getLastContactAgeMs() > maxConfigAgeMs;
    return tooOld ? "stale_config" : undefined;
  }

  const refresh = setInterval(() => {
    table.applyLiveState(agent.getLive());
    table.applyIntervals(agent.getGrant().intervals);
    metrics.gauge("requests.in_flight", tracker.getInFlight());
  }, REFRESH_INTERVAL_MS);
  log("started", { vm: settings.vm, port });

  async function stop(): Promise<void> {
    log("stopping", { inFlight: tracker.getInFlight() });
    leaving = true;
    agent.report();
    // Callers cache the list of entries for its TTL, so requests are accepted until
    // the last cached list has expired.
    await sleep(settings.entriesTtlMs + LEAVE_PROPAGATION_MS);
    isClosed = true;
    await drain();
    await agent.flush(CLAIM_FLUSH_TIMEOUT_MS);
    clearInterval(refresh);
    await closeServer(server);
    await agent[Symbol.asyncDispose]();
    await client[Symbol.asyncDispose]();
    await file?.flush();
  }

  async function drain(): Promise<void> {
    const untilMs = now() + settings.drainTimeoutMs;
    while (tracker.getInFlight() > 0) {
      if (now() > untilMs) {
        log("drainTimedOut", { inFlight: tracker.getInFlight() });
        return;
      }
      await sleep(10);
    }
  }

  return { port, getRevision: () => config.getState().revision, stop };
}
