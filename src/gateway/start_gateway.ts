/**
 * The gateway put together: callers on one side, upstreams that register
 * themselves on the other, the leader's news between them.
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
import { createRequestDesk } from "./create_request_desk.ts";
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
  /** Where callers connect: host and port. */
  readonly listen: { readonly host: string; readonly port: number };
  /** Ms from an acceptance until a key that it took away must be refused. */
  readonly revokeMs: number;
  /** Bound on the repeats of all gateways together. */
  readonly repeats: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMs: number;
  };
  /** Ms from the signal to the end of a planned stop, at most. */
  readonly graceMs: number;
}

/** Options of {@link startGateway}. */
export interface StartGatewayOptions {
  readonly codec: CallerCodec;
  readonly engineControl: EngineControl;
  readonly decodeConfig: DecodeConfig;
  /** Control processes to begin with; read anew for each search. */
  readonly getSeedAddresses: () => readonly string[];
  /**
   * A listener that was opened before the program was loaded; by default the
   * gateway opens one itself.
   */
  readonly earlyListener?: EarlyListener;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** A running gateway. */
export interface Gateway {
  /** Whether callers may be sent here. */
  isReady(): boolean;
  /** Addresses that a caller in this place is to use. */
  listAddresses(place: string): readonly string[];
  getVersion(): number;
  stop(): Promise<void>;
}

/** Ms by which idle callers are kept longer than the configuration says. */
const IDLE_MARGIN_MS = 1_000;

/** Gateways among which what all share is divided while none are known. */
const UNKNOWN_GATEWAYS = 20;

/** Ms between two beats that only ask for repeats. */
const ASK_INTERVAL_MS = 60;

/** Ms in which callers and the other gateways hear of a leave. */
const LEAVE_NEWS_MS = 2_500;

/** Ms kept at the end of the grace for the process to end. */
const END_MARGIN_MS = 400;

/**
 * Starts a gateway.
 *
 * @param settings - Its settings.
 * @param options - The protocol's codec, the seeds, logs and metrics.
 * @returns The running gateway.
 * @throws {Error} When its address is taken.
 * @example
 * const gateway = await startGateway(settings, options);
 */
export async function startGateway(
  settings: GatewaySettings,
  options: StartGatewayOptions,
): Promise<Gateway> {
  const { codec, log, metrics } = options;
  // Leases, loans, trials and deadlines end also while the machine is suspended.
  // Repeats are bounded over a window of the steady clock: it is never too short.
  const steadyNow = () => performance.now();
  const { now } = createElapsedClock({ steadyNow, dayNow: Date.now });
  const { vm, place, listen } = settings;
  const address = `${listen.host}:${listen.port}`;
  let isLeaving = false;
  let graceEndMs = Infinity;
  let isLastCall = false;
  let knowsEngines = false;
  let askedMs = -Infinity;

  const lease = createConfigLease({ revokeMs: settings.revokeMs, now });
  const notices = createEngineNotices({
    steadyNow,
    random: Math.random,
    log,
    metrics,
  });
  const gateways = createGatewayList();
  const { listReady } = gateways;
  // A gateway that has just started knows none and takes a small share.
  const getSharerCount = () => gateways.list().length || UNKNOWN_GATEWAYS;
  const rateLimits = createRateLimits({
    requestGrants: (counts, askedMs) => link.requestGrants(counts, askedMs),
    onNews: () => link.beatSoon(),
    getGatewayCount: getSharerCount,
    now,
    log,
    metrics,
  });
  const exchanger = createExchanger(codec, { onNotice: takeNotice });
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
    // The next session says that it has none, and is told the whole one.
    onUnfit: () => link.renew(),
    now,
    log,
    metrics,
  });
  const losses = createLossNews({ vm, place, listReady });
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
    getGatewayCount: getSharerCount,
    onShort: askForRepeats,
    now: steadyNow,
    elapsedNow: now,
  });
  const quarantine = createQuarantine({
    onNews: () => link.beatSoon(),
    now,
  });
  const context: ServingContext = {
    place,
    codec,
    engineControl: options.engineControl,
    pauses,
    runWatch: createRunWatch({
      engineControl: options.engineControl,
      onLost: noteLost,
      getAskerRank: losses.getAskerRank,
      onPace: engines.notePace,
      onNotice: takeNotice,
      mayAsk: notices.takeQuestion,
      now,
    }),
    stallWatch: createStallWatch({
      engineControl: options.engineControl,
      onNotice: takeNotice,
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

  function noteLost(engineId: string, reason: string): void {
    engines.suspect(engineId, reason);
    losses.note(engineId);
    link.beatSoon();
  }

  // The leader is told at once of a leave that it may not know.
  function takeNotice(engineId: string, notice: EngineNotice): void {
    const isNews = notice.isLeaving && !engines.isLeaving(engineId);
    notices.take(engineId, notice);
    const { limitPerS } = notice;
    if (limitPerS !== undefined) rateLimits.takeAnswer(engineId, { limitPerS });
    if (isNews) link.beatSoon();
  }

  // A stream that is cut waits for what is lent: the next beat is too late.
  function askForRepeats(): void {
    if (now() - askedMs < ASK_INTERVAL_MS) return;
    askedMs = now();
    link.beat();
  }

  function takeMessage(message: LeaderMessage): void {
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
    takeLost: losses.take,
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
    onMessage: takeMessage,
    onConfirmed: (sentMs, version) =>
      lease.confirm({ sentMs, version, held: config.getVersion() }),
    now,
    random: Math.random,
    log,
  });

  const desk = createRequestDesk({
    context,
    lease,
    knowsEngines: () => knowsEngines,
    isLastCall: () => isLastCall,
  });
  const server = createCallerServer((received) => void desk.take(received));

  const { earlyListener } = options;
  await listenForCallers(server, { ...listen, earlyListener });
  log("started", { vm, address });

  const gauges = startGauges({
    metrics,
    desk,
    config,
    lease,
    engines,
    notices,
    rateLimits,
    quarantine,
  });

  async function stop(): Promise<void> {
    log("stopping", { inFlight: desk.getInFlight() });
    gauges[Symbol.dispose]();
    const startedMs = now();
    graceEndMs = startedMs + settings.graceMs - END_MARGIN_MS;
    const leftMs = context.getGraceLeftMs;
    isLeaving = true;
    link.beat();
    // Callers go on with connections that they have, and with addresses that
    // they were told: both are served for a while.
    const lastCallMs = getLastCallMs(settings.graceMs);
    while (now() - startedMs < lastCallMs) {
      await sleep(20);
      const isToldOf = now() - startedMs > LEAVE_NEWS_MS;
      if (isToldOf && desk.getInFlight() === 0) break;
    }
    isLastCall = true;
    while (desk.getInFlight() > 0 && leftMs() > 0) await sleep(20);
    const inFlight = desk.getInFlight();
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
