/**
 * Wires up a gateway: the server for callers, the clients for registered upstreams,
 * and the session with the leader, which keeps its state up to date.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import {
  createAdmissionTally,
  createLinkBudget,
  createReturnLog,
  createUrgentShortage,
} from "../admission/index.ts";
import { createElapsedClock } from "../clocks/index.ts";
import type { EngineNotice } from "../engines/index.ts";
import type { DecodeConfig, LeaderMessage } from "../fleet/index.ts";
import { probeAddress } from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { chooseListedGateways } from "../reachability/index.ts";
import type { RetryLimits } from "../retry/index.ts";
import {
  DEFAULT_REQUEST_LIMITS,
  DEFAULT_UPSTREAM_LIMITS,
  type RequestLimitsSettings,
  type UpstreamLimitsSettings,
} from "../settings/index.ts";
import {
  createCallerServer,
  type EarlyListener,
  listenForCallers,
} from "./create_caller_server.ts";
import { closeCallerServer } from "./close_caller_server.ts";
import { createConfigLease } from "./create_config_lease.ts";
import { createHeldBytes } from "./create_held_bytes.ts";
import { createLeftOutChecks } from "./create_left_out_checks.ts";
import {
  createLivenessCheck,
  type UpstreamAddress,
} from "./create_liveness_check.ts";
import { createEngineNotices } from "./create_engine_notices.ts";
import { createEngineTable } from "./create_engine_table.ts";
import type { EngineView } from "./engine_view.ts";
import { createStreamEndRate } from "./create_stream_end_rate.ts";
import { createFleetRates } from "./create_fleet_rates.ts";
import { createUpstreamTransport } from "./create_upstream_transport.ts";
import { createGatewayList } from "./create_gateway_list.ts";
import { createActiveConfig } from "./create_active_config.ts";
import { createLeaderLink } from "./create_leader_link.ts";
import { createAbandonedRuns } from "./create_abandoned_runs.ts";
import { createLoanRequests } from "./create_loan_requests.ts";
import { createLostEngineReports } from "./create_lost_engine_reports.ts";
import { createPeerList } from "./create_peer_list.ts";
import {
  createReachability,
  type ReachabilityChange,
} from "./create_reachability.ts";
import { createPauseTracker } from "./create_pause_tracker.ts";
import { createQuarantine } from "./create_quarantine.ts";
import { createRateLimits } from "./create_rate_limits.ts";
import {
  createGatewayRetryBudget,
  type RetryLoan,
} from "./create_gateway_retry_budget.ts";
import { createRequestHandler } from "./create_request_handler.ts";
import { createBackOffThrottle } from "./create_back_off_throttle.ts";
import { createRetryAfterSchedule } from "./create_retry_after_schedule.ts";
import { createCapacityQueues } from "./create_capacity_queue.ts";
import { createResumeQueues } from "./create_resume_queue.ts";
import { createUrgentCapacity } from "./create_urgent_capacity.ts";
import { createRunMonitor } from "./create_run_monitor.ts";
import { createSuspectedEnds } from "./create_suspected_ends.ts";
import { createStallReports } from "./create_stall_reports.ts";
import { createResponseTimes } from "./create_response_times.ts";
import type { CallerCodec, EngineControl } from "./protocol.ts";
import { getLimitIntervalMs } from "./get_limit_interval_ms.ts";
import { getDrainAdmissionMs } from "./get_drain_admission_ms.ts";
import { startGauges } from "./start_gauges.ts";
import { toConnectionLimits } from "./to_connection_limits.ts";
import type { ServingContext } from "./types.ts";
import { watchHeads } from "./watch_heads.ts";

/** Settings of a gateway. */
export interface GatewaySettings {
  readonly vm: string;
  readonly place: string;
  /** Address on which callers connect. */
  readonly listen: { readonly host: string; readonly port: number };
  /** Ms from the acceptance of a change until a key that it removes must be refused. */
  readonly revokeMs: number;
  /** Limits of the retry budget that all gateways share. */
  readonly retryBudget: RetryLimits;
  /** Maximum ms from the signal to the end of a planned stop. */
  readonly graceMs: number;
  /**
   * Ms for which an upstream that has announced its leave goes on serving; 0, the
   * default, if unknown.
   */
  readonly upstreamDrainMs?: number;
  /** What upstreams and peers may send; the defaults of the schema by default. */
  readonly upstreamLimits?: UpstreamLimitsSettings;
  /** What is held of requests; the defaults of the schema by default. */
  readonly requestLimits?: RequestLimitsSettings;
}

/** Options of {@link startGateway}. */
export interface StartGatewayOptions {
  readonly codec: CallerCodec;
  readonly engineControl: EngineControl;
  readonly decodeConfig: DecodeConfig;
  /** Initial control process addresses; read again for each search. */
  readonly getSeedAddresses: () => readonly string[];
  /**
   * A listener opened before the program was loaded; by default the gateway opens
   * its own.
   */
  readonly earlyListener?: EarlyListener;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** A running gateway. */
export interface Gateway {
  /** Whether callers may be directed to this gateway. */
  isReady(): boolean;
  /** Gateway addresses for a caller in `place`. */
  listAddresses(place: string): readonly string[];
  getVersion(): number;
  stop(): Promise<void>;
}

/** Ms by which idle connections outlive the configured timeout. */
const IDLE_MARGIN_MS = 1_000;

/** Time for the head of a request before there is a configuration. */
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;

/** Time within which callers and other gateways learn that this one is leaving. */
const LEAVE_PROPAGATION_MS = 2_500;

/**
 * Age, in ms, up to which an accepted connection shows that an engine failed and not
 * the path to it: about the time that a probe of the engine took.
 */
const CONFIRMATION_MAX_AGE_MS = 25;

/** Time-out, in ms, of a check whether an upstream that is left out answers again. */
const LEFT_OUT_CHECK_TIMEOUT_MS = 100;

/** Ms before a partition was found out in which it may have caused failures. */
const SUSPICIONS_BEFORE_CUT_MS = 1_000;

/** Part of the grace period reserved for the exit of the process. */
const EXIT_MARGIN_MS = 400;

/**
 * Starts a gateway.
 *
 * @param settings - Its settings.
 * @param options - The protocol codec, seed addresses, logs and metrics.
 * @returns The running gateway.
 * @throws {Error} When its address is already in use.
 * @example
 * const gateway = await startGateway(settings, options);
 */
export async function startGateway(
  settings: GatewaySettings,
  options: StartGatewayOptions,
): Promise<Gateway> {
  const { codec, log, metrics } = options;
  // Leases, loans, trials and deadlines also expire while the machine is suspended.
  const steadyNow = () => performance.now();
  const { now } = createElapsedClock({ steadyNow, dayNow: Date.now });
  const { vm, place, listen } = settings;
  const address = `${listen.host}:${listen.port}`;
  let isLeaving = false;
  let graceEndMs = Infinity;
  let isDraining = false;
  let knowsEngines = false;
  const loanRequests = createLoanRequests({ now });

  const lease = createConfigLease({ revokeMs: settings.revokeMs, now });
  const notices = createEngineNotices({
    steadyNow,
    random: Math.random,
    log,
    metrics,
  });
  const gateways = createGatewayList();
  const { listReady } = gateways;
  const rateLimits = createRateLimits({
    requestGrants: (counts, askedMs) => link.requestGrants(counts, askedMs),
    onReportDue: () => link.scheduleHeartbeat(),
    // A gateway that has just started doesn't know how many share a limit.
    getGatewayCount: () => gateways.list().length || Infinity,
    now,
    log,
    metrics,
  });
  const { upstreamLimits: limits = DEFAULT_UPSTREAM_LIMITS } = settings;
  const { requestLimits = DEFAULT_REQUEST_LIMITS } = settings;
  const upstreamTransport = createUpstreamTransport(codec, {
    limits,
    onNotice: handleNotice,
    onConnected(engineId) {
      const service = engines.get(engineId)?.record.service;
      if (service !== undefined) reachability.noteConnected(service);
    },
  });
  const engines = createEngineTable({
    now,
    log,
    onRemoved(engineId) {
      upstreamTransport.removeUpstream(engineId);
      suspectedEnds.handleRemoved(engineId);
    },
    notices,
  });
  const suspectedEnds = createSuspectedEnds({
    hasEnded: (engineId) =>
      engines.get(engineId) === undefined && engines.hasEnded(engineId),
    now,
    log,
    metrics,
  });
  const config = createActiveConfig({
    decodeConfig: options.decodeConfig,
    onChange({ limits }) {
      server.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
      // A rested connection without a request counts as a head to the HTTP library.
      server.server.headersTimeout = limits.headerTimeoutMs +
        limits.idleTimeoutMs + IDLE_MARGIN_MS;
    },
    // The hello of the next session reports no version, so the leader sends the whole
    // configuration.
    onBaseMismatch: () => link.reconnect(),
    now,
    log,
    metrics,
  });
  const lostEngineReports = createLostEngineReports({ vm, place, listReady });
  const pauseTracker = createPauseTracker();
  const endRate = createStreamEndRate({ now });
  const getGatewayCount = () => Math.max(1, listReady().length);
  const rates = createFleetRates({
    getOwnEndIntervalMs: endRate.getIntervalMs,
    getGatewayCount,
    now,
  });
  const budget = createGatewayRetryBudget({
    windowMs: settings.retryBudget.windowMs,
    onNeeded: requestRetryLoan,
    onDenied: () => metrics.count("retry.budget_spent"),
    now,
  });
  const peers = createPeerList({
    self: { vm, place },
    gateways,
    now,
    random: Math.random,
  });
  const peerTransport = createUpstreamTransport(codec, { limits });
  const reachability = createReachability({
    listUpstreams: listProbedUpstreams,
    listRegistered: (service) => engines.list(service).map(getAddress),
    listServices: engines.listServices,
    onChange: handleReachabilityChange,
    probe: probeAddress,
    now,
    random: Math.random,
    log,
    metrics,
  });
  const quarantine = createQuarantine({
    onUpdateDue: () => link.scheduleHeartbeat(),
    now,
  });
  const context: ServingContext = {
    vm,
    place,
    peers,
    peerTransport,
    heldBytes: createHeldBytes({ maxBytes: limits.heldBytes }),
    reachability,
    codec,
    engineControl: options.engineControl,
    pauseTracker,
    runMonitor: createRunMonitor({
      engineControl: options.engineControl,
      confirmFailure: reachesServiceOf,
      onEngineFailed: reportFailedEngine,
      getProbeRank: lostEngineReports.getProbeRank,
      onEngineAnswered: engines.noteProbeAnswered,
      onPace: engines.noteSlowness,
      onNotice: handleNotice,
      mayProbe: notices.acquireProbe,
      now,
      log,
    }),
    stallReports: createStallReports({
      engineControl: options.engineControl,
      onNotice: handleNotice,
      mayQuery: notices.acquireProbe,
      now,
    }),
    engines,
    notices,
    rateLimits,
    throttle: createBackOffThrottle({ now: steadyNow }),
    responseTimes: createResponseTimes({ now }),
    upstreamTransport,
    livenessCheck: createLivenessCheck({
      now,
      reachesOthers: (engineId) => {
        const service = engines.get(engineId)?.record.service ?? "";
        return reachability.reachesOthers(engineId, service);
      },
    }),
    leftOutChecks: createLeftOutChecks({ engines, checkAnswer, now }),
    quarantine,
    rankTally: createAdmissionTally({ now }),
    urgentShortage: createUrgentShortage({ now }),
    linkBudget: createLinkBudget({
      getGatewayCount,
      now,
      random: Math.random,
    }),
    suspectedEnds,
    abandonedRuns: createAbandonedRuns({ now }),
    budget,
    endRate,
    rates,
    retryAfterSchedule: createRetryAfterSchedule({
      getEndIntervalMs: rates.getEndIntervalMs,
      getGatewayCount,
      now,
      random: Math.random,
    }),
    limitRetryAfterSchedule: createRetryAfterSchedule({
      getEndIntervalMs: (service) =>
        getLimitIntervalMs({ engines, rateLimits }, service),
      leastWaitMs: 0,
      getGatewayCount,
      now,
      random: Math.random,
    }),
    getCapacityQueue: createCapacityQueues(rates, { now }),
    getResumeQueue: createResumeQueues(),
    returnLog: createReturnLog({ now }),
    urgentCapacity: createUrgentCapacity({ now }),
    getTable: config.getTable,
    getGatewayCount,
    listGatewayPlaces: () => listReady().map((one) => one.place),
    isLeaving: () => isLeaving,
    getGraceLeftMs: () => graceEndMs - now(),
    upstreamDrainMs: settings.upstreamDrainMs ?? 0,
    now,
    random: Math.random,
    log,
    metrics,
  };
  const isReady = () =>
    !isLeaving && config.getTable() !== undefined && knowsEngines &&
    lease.isValid();

  function reportFailedEngine(engineId: string, reason: string): void {
    engines.suspect(engineId, reason, { isUnanswered: true });
    lostEngineReports.add(engineId);
    link.scheduleHeartbeat();
  }

  // Other gateways leave an engine on the reports of a few, so a gateway that reaches
  // no engine at all must not report any.
  async function reachesServiceOf(engineId: string): Promise<boolean> {
    const service = engines.get(engineId)?.record.service;
    return service === undefined ||
      await reachability.check(service, { maxAgeMs: CONFIRMATION_MAX_AGE_MS });
  }

  // An engine with layers is asked for its report, as for each probe. A plain upstream
  // has none, and shows by accepting a connection that it is there.
  async function checkAnswer({ record }: EngineView): Promise<boolean> {
    const { engineId, address, layers } = record;
    const timeoutMs = LEFT_OUT_CHECK_TIMEOUT_MS;
    if (layers === undefined) {
      return await probeAddress(address, { timeoutMs }) === "listening";
    }
    if (!notices.acquireProbe(engineId)) return false;
    const { state } = await options.engineControl.checkLiveness(address, {
      timeoutMs,
      onNotice: (notice) => handleNotice(engineId, notice),
    });
    return state === "present";
  }

  // A request over several engines starts at one that holds the first layer.
  function listProbedUpstreams(service: string): UpstreamAddress[] {
    const isLayered =
      config.getTable()?.getService(service)?.model !== undefined;
    return engines.list(service)
      .filter(({ record }) => !isLayered || record.layers?.fromLayer === 0)
      .sort((a, b) => b.answeredMs - a.answeredMs)
      .map(getAddress);
  }

  function getAddress({ record }: EngineView): UpstreamAddress {
    const { engineId, address } = record;
    return { engineId, address };
  }

  function handleReachabilityChange(change: ReachabilityChange): void {
    const { service, isCutOff, sinceMs } = change;
    if (isCutOff) engines.dropSuspects(service);
    else {
      engines.clearSuspicions(service, sinceMs - SUSPICIONS_BEFORE_CUT_MS);
      // Connections that were open during the partition may stay silent for good.
      engines.list(service).forEach(({ record }) =>
        upstreamTransport.removeUpstream(record.engineId)
      );
    }
    link.scheduleHeartbeat();
  }

  // A leave that the leader may not know is reported to it at once.
  function handleNotice(engineId: string, notice: EngineNotice): void {
    const isNewLeave = notice.isLeaving && !engines.isLeaving(engineId);
    notices.record(engineId, notice);
    const { limitPerS } = notice;
    if (limitPerS !== undefined) rateLimits.noteAnswer(engineId, { limitPerS });
    if (isNewLeave) link.scheduleHeartbeat();
  }

  // A call waits for lent retries; the next regular heartbeat is too late.
  function requestRetryLoan(): void {
    if (loanRequests.noteMissing()) link.scheduleHeartbeat();
  }

  function handleLoan(loan: RetryLoan): void {
    const isGranted = Object.values(loan.counts).every((count) => count > 0);
    if (isGranted) loanRequests.noteGranted();
    budget.addLoan(loan);
  }

  function handleMessage(message: LeaderMessage): void {
    switch (message.type) {
      case "config":
        return config.applyFull(message);
      case "configChange":
        return config.applyChange(message);
      case "engines":
        knowsEngines = true;
        engines.applyUpdate(message);
        return reachability.handleUpstreamsChanged();
      case "loads":
        rates.update(message.activity);
        return engines.updateLoads(message.loads);
      case "gateways":
        return gateways.update(message);
      case "lost":
        message.engineIds.forEach(engines.excludeLost);
        return context.runMonitor.handleFailureReport(message.engineIds);
      case "repeatsLent":
        return handleLoan({
          counts: { [message.service]: message.count },
          askedMs: message.askedMs,
        });
      case "retriesLent":
        return handleLoan(message);
      case "limits":
        return rateLimits.applyLimits(message.limits);
      case "grants":
        return rateLimits.applyGrants(message);
      case "cases":
        return quarantine.applyCases(message);
      case "trial":
        return quarantine.addTrialGrant(message);
    }
  }

  const link = createLeaderLink({
    getSeedAddresses: options.getSeedAddresses,
    getGateway: () => {
      const cutOffServices = reachability.listCutOff();
      return {
        vm,
        place,
        address,
        isReady: isReady(),
        ...(cutOffServices.length > 0 ? { cutOffServices } : {}),
      };
    },
    getGatewayCount: () => gateways.list().length,
    getVersion: config.getBaseVersion,
    takeSuspects: () =>
      engines.takeSuspects(({ record }) =>
        !reachability.isInDoubt(record.service)
      ),
    takeLostEngines: lostEngineReports.take,
    takeSlowEngines: pauseTracker.takeSlowEngines,
    listUnreportedLeaving: engines.listUnreportedLeaving,
    getLoads: engines.getLoads,
    processId: randomUUID(),
    takeRetryReports: budget.takeReports,
    takeActivity: rates.takeOwnActivity,
    collectQuarantineUpdate: quarantine.collectUpdate,
    takeLimitReports: rateLimits.takeReports,
    onWelcome({ cases, limits }, { isNewLeader }) {
      budget.beginSession({ isNewLeader });
      quarantine.replaceCases(cases);
      rateLimits.syncLimits(limits);
    },
    onMessage: handleMessage,
    onVersionConfirmed: (sentMs, version) =>
      lease.confirm({ sentMs, version, held: config.getVersion() }),
    now,
    random: Math.random,
    log,
  });

  const requestHandler = createRequestHandler({
    context,
    lease,
    maxBodyMemoryBytes: requestLimits.bodyMemoryBytes,
    knowsEngines: () => knowsEngines,
    isDraining: () => isDraining,
  });
  const server = createCallerServer(
    (received) => void requestHandler.handle(received),
    {
      limits: toConnectionLimits(requestLimits),
      onLimit: () => metrics.count("callers.connections_closed"),
    },
  );

  watchHeads(server.server, {
    getTimeoutMs: () =>
      config.getTable()?.limits.headerTimeoutMs ?? DEFAULT_HEADER_TIMEOUT_MS,
  });

  const { earlyListener } = options;
  await listenForCallers(server, { ...listen, earlyListener });
  log("started", { vm, address });

  const gauges = startGauges({
    metrics,
    requestHandler,
    config,
    lease,
    engines,
    notices,
    rateLimits,
    quarantine,
  });

  async function stop(): Promise<void> {
    log("stopping", { inFlight: requestHandler.getInFlight() });
    gauges[Symbol.dispose]();
    const { getUnfinished } = requestHandler;
    const startedMs = now();
    graceEndMs = startedMs + settings.graceMs - EXIT_MARGIN_MS;
    const leftMs = context.getGraceLeftMs;
    isLeaving = true;
    link.beat();
    // Callers keep using open connections and the addresses that they have resolved,
    // so requests are admitted for a while longer.
    const drainAdmissionMs = getDrainAdmissionMs(settings.graceMs);
    while (now() - startedMs < drainAdmissionMs) {
      await sleep(20);
      const isPropagated = now() - startedMs > LEAVE_PROPAGATION_MS;
      if (isPropagated && getUnfinished() === 0) break;
    }
    isDraining = true;
    while (getUnfinished() > 0 && leftMs() > 0) await sleep(20);
    const inFlight = getUnfinished();
    if (inFlight > 0) log("drainTimedOut", { inFlight });
    await link[Symbol.asyncDispose]();
    await closeCallerServer(server, {
      earlyListener,
      getInFlight: getUnfinished,
      getLeftMs: leftMs,
    });
    reachability[Symbol.dispose]();
    await upstreamTransport[Symbol.asyncDispose]();
    await peerTransport[Symbol.asyncDispose]();
  }

  return {
    isReady,
    listAddresses(at) {
      const listed = chooseListedGateways(listReady(), at);
      const named = listed.map((one) => one.address);
      return named.length > 0 ? named : [address];
    },
    getVersion: config.getVersion,
    stop,
  };
}
