/**
 * Wires up a gateway: the server for callers, the clients for registered upstreams,
 * and the session with the leader, which keeps its state up to date.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { createElapsedClock } from "../clocks/index.ts";
import type { EngineNotice } from "../engines/index.ts";
import type { DecodeConfig, LeaderMessage } from "../fleet/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import {
  createCallerServer,
  type EarlyListener,
  listenForCallers,
} from "./create_caller_server.ts";
import { createConfigLease } from "./create_config_lease.ts";
import { createEndCheck } from "./create_end_check.ts";
import { createEngineNotices } from "./create_engine_notices.ts";
import { createEngineTable } from "./create_engine_table.ts";
import { createEndRate } from "./create_end_rate.ts";
import { createFleetRates } from "./create_fleet_rates.ts";
import { createExchanger } from "./create_exchanger.ts";
import { createGatewayList } from "./create_gateway_list.ts";
import { createHeldConfig } from "./create_held_config.ts";
import { createFleetLink } from "./create_fleet_link.ts";
import { createLeftRuns } from "./create_left_runs.ts";
import { createLossNews } from "./create_loss_news.ts";
import { createPauseWatch } from "./create_pause_watch.ts";
import { createQuarantine } from "./create_quarantine.ts";
import { createRateLimits } from "./create_rate_limits.ts";
import { createRepeatBudget } from "./create_repeat_budget.ts";
import { createRequestHandler } from "./create_request_handler.ts";
import { createBackOffThrottle } from "./create_back_off_throttle.ts";
import { createReturnSchedule } from "./create_return_schedule.ts";
import { createRoomQueues } from "./create_room_queue.ts";
import { createRunWatch } from "./create_run_watch.ts";
import { createStallWatch } from "./create_stall_watch.ts";
import { createUsualTimes } from "./create_usual_times.ts";
import type { CallerCodec, EngineControl } from "./protocol.ts";
import { getLimitIntervalMs } from "./get_limit_interval_ms.ts";
import { getLastCallMs } from "./get_last_call_ms.ts";
import { startGauges } from "./start_gauges.ts";
import type { ServingContext } from "./types.ts";

/** Settings of a gateway. */
export interface GatewaySettings {
  readonly vm: string;
  readonly place: string;
  /** Address on which callers connect. */
  readonly listen: { readonly host: string; readonly port: number };
  /** Ms from the acceptance of a change until a key that it removes must be refused. */
  readonly revokeMs: number;
  /** Limits of the retry budget that all gateways share. */
  readonly repeats: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMs: number;
  };
  /** Maximum ms from the signal to the end of a planned stop. */
  readonly graceMs: number;
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

/** Number of gateways assumed to share limits and budgets while none are known. */
const DEFAULT_GATEWAY_COUNT = 20;

/** Minimum interval between heartbeats sent only to request retries. */
const LOAN_REQUEST_INTERVAL_MS = 60;

/** Time within which callers and other gateways learn that this one is leaving. */
const LEAVE_PROPAGATION_MS = 2_500;

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
  // The retry budget's window uses the steady clock, so that it is never too short.
  const steadyNow = () => performance.now();
  const { now } = createElapsedClock({ steadyNow, dayNow: Date.now });
  const { vm, place, listen } = settings;
  const address = `${listen.host}:${listen.port}`;
  let isLeaving = false;
  let graceEndMs = Infinity;
  let isDraining = false;
  let knowsEngines = false;
  let lastLoanRequestMs = -Infinity;

  const lease = createConfigLease({ revokeMs: settings.revokeMs, now });
  const notices = createEngineNotices({
    steadyNow,
    random: Math.random,
    log,
    metrics,
  });
  const gateways = createGatewayList();
  const { listReady } = gateways;
  // A gateway that has just started knows no others and uses a small share.
  const getSharingGatewayCount = () =>
    gateways.list().length || DEFAULT_GATEWAY_COUNT;
  const rateLimits = createRateLimits({
    requestGrants: (counts, askedMs) => link.requestGrants(counts, askedMs),
    onNews: () => link.scheduleHeartbeat(),
    getGatewayCount: getSharingGatewayCount,
    now,
    log,
    metrics,
  });
  const exchanger = createExchanger(codec, { onNotice: handleNotice });
  const engines = createEngineTable({
    now,
    log,
    onGone: exchanger.forget,
    notices,
  });
  const config = createHeldConfig({
    decodeConfig: options.decodeConfig,
    onChange({ limits }) {
      server.server.keepAliveTimeout = limits.idleTimeoutMs + IDLE_MARGIN_MS;
    },
    // The hello of the next session reports no version, so the leader sends the whole
    // configuration.
    onUnfit: () => link.reconnect(),
    now,
    log,
    metrics,
  });
  const lostEngineReports = createLossNews({ vm, place, listReady });
  const pauses = createPauseWatch();
  const endRate = createEndRate({ now });
  const getGatewayCount = () => Math.max(1, listReady().length);
  const rates = createFleetRates({
    getOwnEndIntervalMs: endRate.getIntervalMs,
    getGatewayCount,
    now,
  });
  const budget = createRepeatBudget({
    ...settings.repeats,
    getGatewayCount: getSharingGatewayCount,
    onShort: requestRetryLoan,
    now: steadyNow,
    elapsedNow: now,
  });
  const quarantine = createQuarantine({
    onNews: () => link.scheduleHeartbeat(),
    now,
  });
  const context: ServingContext = {
    place,
    codec,
    engineControl: options.engineControl,
    pauses,
    runWatch: createRunWatch({
      engineControl: options.engineControl,
      onLost: reportFailedEngine,
      getAskerRank: lostEngineReports.getAskerRank,
      onPace: engines.notePace,
      onNotice: handleNotice,
      mayAsk: notices.takeQuestion,
      now,
    }),
    stallWatch: createStallWatch({
      engineControl: options.engineControl,
      onNotice: handleNotice,
      mayAsk: notices.takeQuestion,
      now,
    }),
    engines,
    notices,
    rateLimits,
    throttle: createBackOffThrottle({ now: steadyNow }),
    usualTimes: createUsualTimes(),
    exchanger,
    endCheck: createEndCheck({ now }),
    quarantine,
    leftRuns: createLeftRuns({ now }),
    budget,
    endRate,
    rates,
    returns: createReturnSchedule({
      getEndIntervalMs: rates.getEndIntervalMs,
      getGatewayCount,
      now,
      random: Math.random,
    }),
    limitReturns: createReturnSchedule({
      getEndIntervalMs: (service) =>
        getLimitIntervalMs({ engines, rateLimits }, service),
      leastWaitMs: 0,
      getGatewayCount,
      now,
      random: Math.random,
    }),
    getRoomQueue: createRoomQueues(rates),
    getTable: config.getTable,
    getGatewayCount,
    listGatewayPlaces: () => listReady().map((one) => one.place),
    isLeaving: () => isLeaving,
    getGraceLeftMs: () => graceEndMs - now(),
    now,
    random: Math.random,
    log,
    metrics,
  };
  const isReady = () =>
    !isLeaving && config.getTable() !== undefined && knowsEngines &&
    lease.isValid();

  function reportFailedEngine(engineId: string, reason: string): void {
    engines.suspect(engineId, reason);
    lostEngineReports.note(engineId);
    link.scheduleHeartbeat();
  }

  // A leave that the leader may not know is reported to it at once.
  function handleNotice(engineId: string, notice: EngineNotice): void {
    const isNewLeave = notice.isLeaving && !engines.isLeaving(engineId);
    notices.take(engineId, notice);
    const { limitPerS } = notice;
    if (limitPerS !== undefined) rateLimits.takeAnswer(engineId, { limitPerS });
    if (isNewLeave) link.scheduleHeartbeat();
  }

  // A broken stream waits for lent retries; the next regular heartbeat is too late.
  function requestRetryLoan(): void {
    if (now() - lastLoanRequestMs < LOAN_REQUEST_INTERVAL_MS) return;
    lastLoanRequestMs = now();
    link.beat();
  }

  function handleMessage(message: LeaderMessage): void {
    switch (message.type) {
      case "config":
        return config.take(message);
      case "configChange":
        return config.takeChange(message);
      case "engines":
        knowsEngines = true;
        return engines.take(message);
      case "loads":
        rates.take(message.activity);
        return engines.takeLoads(message.loads);
      case "gateways":
        return gateways.take(message);
      case "lost":
        message.engineIds.forEach(engines.takeLost);
        return context.runWatch.takeLost(message.engineIds);
      case "repeatsLent":
        return budget.takeLoan(message);
      case "limits":
        return rateLimits.takeTold(message.limits);
      case "grants":
        return rateLimits.takeGrants(message);
      case "cases":
        return quarantine.takeCases(message);
      case "trial":
        return quarantine.takeGrant(message);
    }
  }

  const link = createFleetLink({
    getSeedAddresses: options.getSeedAddresses,
    getGateway: () => ({ vm, place, address, isReady: isReady() }),
    getGatewayCount: () => gateways.list().length,
    getVersion: config.getToldVersion,
    takeSuspects: engines.takeSuspects,
    takeLost: lostEngineReports.take,
    takeSlow: pauses.takeSlow,
    listLeaves: engines.listUntoldLeaves,
    getLoads: engines.getLoads,
    getRepeatsWanted: budget.getWanted,
    takeActivity: rates.takeOwn,
    getQuarantineNews: quarantine.getTold,
    takeLimitReports: rateLimits.takeReports,
    onWelcome({ cases, limits }) {
      quarantine.takeWhole(cases);
      rateLimits.takeWhole(limits);
    },
    onMessage: handleMessage,
    onConfirmed: (sentMs, version) =>
      lease.confirm({ sentMs, version, held: config.getVersion() }),
    now,
    random: Math.random,
    log,
  });

  const requestHandler = createRequestHandler({
    context,
    lease,
    knowsEngines: () => knowsEngines,
    isDraining: () => isDraining,
  });
  const server = createCallerServer((received) =>
    void requestHandler.handle(received)
  );

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
    const startedMs = now();
    graceEndMs = startedMs + settings.graceMs - EXIT_MARGIN_MS;
    const leftMs = context.getGraceLeftMs;
    isLeaving = true;
    link.beat();
    // Callers keep using open connections and the addresses that they have resolved,
    // so requests are admitted for a while longer.
    const drainAdmissionMs = getLastCallMs(settings.graceMs);
    while (now() - startedMs < drainAdmissionMs) {
      await sleep(20);
      const isPropagated = now() - startedMs > LEAVE_PROPAGATION_MS;
      if (isPropagated && requestHandler.getInFlight() === 0) break;
    }
    isDraining = true;
    while (requestHandler.getInFlight() > 0 && leftMs() > 0) await sleep(20);
    const inFlight = requestHandler.getInFlight();
    if (inFlight > 0) log("drainTimedOut", { inFlight });
    await link[Symbol.asyncDispose]();
    server.server.closeAllConnections();
    await server.close();
    await exchanger[Symbol.asyncDispose]();
  }

  return {
    isReady,
    listAddresses(at) {
      const ready = listReady();
      const near = ready.filter((gateway) => gateway.place === at);
      const named = (near.length > 0 ? near : ready).map((one) => one.address);
      return named.length > 0 ? named : [address];
    },
    getVersion: config.getVersion,
    stop,
  };
}
