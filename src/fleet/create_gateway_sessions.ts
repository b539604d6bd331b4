/**
 * The leader's streaming sessions with gateways: welcomes gateways, takes their
 * heartbeats, and publishes configurations, upstreams, gateways and loads to them.
 *
 * @module
 */

import { randomUUID } from "node:crypto";
import {
  type handleBidiStreamingCall,
  Metadata,
  type ServerDuplexStream,
  status,
} from "@grpc/grpc-js";
import { findMapChanges } from "../collections/index.ts";
import type { EngineRecord } from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { wire } from "../wire/index.ts";
import { createActivityTally } from "./create_activity_tally.ts";
import { createAwaitedGateways } from "./create_awaited_gateways.ts";
import { createHelloQueue } from "./create_hello_queue.ts";
import {
  type ConfirmedFailure,
  createFailureReportCollector,
} from "./create_failure_report_collector.ts";
import { createRolloutTracker } from "./create_rollout_tracker.ts";
import type {
  EngineChange,
  EngineDepartures,
} from "./create_engine_registry.ts";
import type { LimitCoordinator } from "./create_limit_coordinator.ts";
import type { RetryLender, RetryReports } from "./create_retry_lender.ts";
import type { QuarantineCoordinator } from "./create_quarantine_coordinator.ts";
import { createSessionCodec } from "./create_session_codec.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import type { AcceptedConfig } from "./create_fleet_state_machine.ts";
import { assertGatewayRecord } from "./assert_gateway_record.ts";
import { isSameGateway } from "./is_same_gateway.ts";
import type {
  EngineLoads,
  GatewayMessage,
  GatewayRecord,
  GrantCounts,
  LeaderMessage,
  SendGrants,
} from "./messages.ts";
import { sumLoads } from "./sum_loads.ts";

type SessionStream = ServerDuplexStream<wire.FleetMessage, wire.FleetMessage>;

/** Dependencies of {@link createGatewaySessions}. */
export interface CreateGatewaySessionsOptions {
  readonly isLeader: () => boolean;
  /** Whether this process holds the leader's lease now. */
  readonly hasLease: () => boolean;
  /**
   * Resolves once a quorum has confirmed that this process leads and it has applied
   * what earlier leaders recorded.
   */
  readonly confirmRead: () => Promise<void>;
  /** Address of a leader that was in contact recently; empty if there is none. */
  readonly getLeaderAddress: () => string;
  readonly getControlAddresses: () => readonly string[];
  readonly getAcceptedConfig: () => AcceptedConfig | undefined;
  /** Earlier configurations that gateways may still hold. */
  readonly history: Pick<ConfigHistory, "get" | "read">;
  readonly getEngines: () => readonly EngineRecord[];
  /** Engines that have departed since this leader was elected. */
  readonly getDepartures: () => EngineDepartures;
  /** Whether this leader has received heartbeats long enough to know all engines. */
  readonly knowsAllEngines: () => boolean;
  /** Whether gateways have had enough time to connect to this leader. */
  readonly knowsAllGateways: () => boolean;
  readonly retryLender: Pick<RetryLender, "handleReports">;
  readonly quarantine: Pick<
    QuarantineCoordinator,
    "take" | "grantTrial" | "list"
  >;
  readonly limits: Pick<LimitCoordinator, "take" | "grant" | "list">;
  readonly onSuspectedEngines: (
    vm: string,
    engineIds: readonly string[],
  ) => void;
  /** Called when a gateway reports upstreams that announced that they are leaving. */
  readonly onLeavingEngines: (engineIds: readonly string[]) => void;
  /** Called when a gateway reports engines with slow streams, or unresponsive ones. */
  readonly onSlowEngines: (engineIds: readonly string[]) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /**
   * Monotonic time, in ms, that advances only while gateways can reach this process;
   * `now` by default.
   */
  readonly listeningNow?: () => number;
  readonly log: Logger;
  readonly metrics: Pick<Metrics, "count" | "gauge" | "timing">;
}

/** The leader's sessions with gateways. */
export interface GatewaySessions {
  readonly handleSession: handleBidiStreamingCall<
    wire.FleetMessage,
    wire.FleetMessage
  >;
  /** Publishes a version that was just accepted. */
  publishConfig(version: number): void;
  /** Starts to wait for the gateways that earlier leaders recorded. */
  awaitGateways(recorded: Iterable<GatewayRecord>): void;
  /** The list of gateways published last; undefined before the first one. */
  getPublishedGateways(): ReadonlyMap<string, GatewayRecord> | undefined;
  publishEngines(change: EngineChange): void;
  /** Publishes the full list of engines, which replaces what gateways hold. */
  publishAllEngines(): void;
  /** Ends sessions that timed out, and publishes which gateways are live. */
  tick(): void;
  /** Sends a message to all gateways. */
  publish(message: LeaderMessage): void;
  /** Publishes the sum of what all gateways have in flight. */
  publishLoads(): void;
  closeAll(): void;
}

interface Session {
  readonly stream: SessionStream;
  gateway: GatewayRecord | undefined;
  /** The process that holds what it is lent. */
  holder: string;
  sentVersion: number;
  lastSeenMs: number;
  /** Time at which it began, in ms. */
  readonly openedMs: number;
  /** The gateway's work in flight as last reported; undefined before that. */
  loads: EngineLoads | undefined;
  isClosed: boolean;
}

/** Time without a heartbeat, in ms, after which a gateway is removed from the list. */
const SESSION_TIMEOUT_MS = 1_500;

/** Ms after which a gateway may ask again for sends if the leader has no lease. */
const NO_LEASE_RETRY_MS = 300;

/** Bytes that may be buffered for a slow gateway before its session is ended. */
const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

/** Ms that a new gateway has to report its loads; after that they count as none. */
const FIRST_LOADS_TIMEOUT_MS = 1_500;

/** Ms for which versions in quick succession are combined into one message. */
const CONFIG_BATCH_MS = 100;

/**
 * Creates the leader's sessions, none open.
 *
 * @param options - The state to publish, and handlers of what gateways report.
 * @returns The sessions.
 * @throws Nothing.
 * @example
 * grpc.addService(wire.FleetService, { session: sessions.handleSession });
 */
export function createGatewaySessions(
  options: CreateGatewaySessionsOptions,
): GatewaySessions {
  const { now, log, listeningNow = now } = options;
  const sessions = new Map<string, Session>();
  // The list published last, by VM; undefined before the first one.
  let publishedGateways: ReadonlyMap<string, GatewayRecord> | undefined;
  // Loads and activity published last, as JSON; empty before the first time.
  let publishedLoads = "";
  let batchTimer: ReturnType<typeof setTimeout> | undefined;
  const codec = createSessionCodec(options);
  const tally = createActivityTally({ now });
  const lossReports = createFailureReportCollector({ now });
  const rollout = createRolloutTracker(options);
  const helloQueue = createHelloQueue(options);
  const awaitedGateways = createAwaitedGateways({ now: listeningNow, log });

  function send(session: Session, message: LeaderMessage): void {
    write(session, codec.format(message));
  }

  function broadcast(message: LeaderMessage): void {
    writeToAll(codec.format(message));
  }

  function writeToAll(message: wire.FleetMessage): void {
    for (const session of sessions.values()) write(session, message);
  }

  function write({ stream }: Session, message: wire.FleetMessage): void {
    if (stream.writableLength > MAX_BUFFERED_BYTES) {
      stream.end();
      return;
    }
    stream.write(message);
  }

  function redirect(stream: SessionStream, address: string): void {
    stream.write(codec.format({ type: "redirect", address }));
    stream.end();
  }

  function sendConfig(session: Session): void {
    const accepted = options.getAcceptedConfig();
    if (!accepted) return;
    if (accepted.version <= session.sentVersion) return;
    write(session, codec.formatConfig(accepted, session.sentVersion));
    session.sentVersion = accepted.version;
  }

  function sendConfigToAll(): void {
    const accepted = options.getAcceptedConfig();
    if (!accepted) return;
    const startedMs = now();
    const waitedMs = Math.round(rollout.getAgeMs());
    for (const session of sessions.values()) sendConfig(session);
    const tookMs = Math.round(now() - startedMs);
    options.metrics.timing("config.publish_ms", tookMs);
    const { version } = accepted;
    log("configPublished", {
      version,
      waitedMs,
      tookMs,
      sessions: sessions.size,
    });
  }

  function handleHello(
    session: Session,
    hello: GatewayMessage & { type: "hello" },
  ): void {
    const { stream } = session;
    // Any answer at all makes the gateway wait longer for a busy process.
    stream.sendMetadata(new Metadata());
    helloQueue.enqueue({
      isClosed: () => session.isClosed,
      welcome: () => guard(session, () => welcome(session, hello)),
      redirect: (address) => redirect(stream, address),
    });
  }

  function welcome(
    session: Session,
    hello: GatewayMessage & { type: "hello" },
  ): void {
    const { gateway, version, sentMs } = hello;
    assertGatewayRecord(gateway);
    sessions.get(gateway.vm)?.stream.end();
    session.gateway = gateway;
    // A process of an earlier build reports nothing, so each session is one holder.
    session.holder = `${gateway.vm}/${hello.processId ?? randomUUID()}`;
    session.sentVersion = version;
    session.lastSeenMs = listeningNow();
    sessions.set(gateway.vm, session);
    awaitedGateways.noteReturned(gateway.vm);
    rollout.onApplied(gateway.vm, version);
    const controlAddresses = options.getControlAddresses();
    // Suspected requests have to arrive before the engines, as the gateway sends
    // requests from then on. They are part of the welcome because the cost of joins
    // is nearly all in the number of messages.
    const cases = options.quarantine.list();
    const limits = options.limits.list();
    send(session, { type: "welcome", controlAddresses, cases, limits });
    sendConfig(session);
    write(session, codec.formatEngines());
    // Leadership was confirmed after the hello was sent, as with any heartbeat.
    acknowledge(session, sentMs);
    // A gateway that has just started knows no others, and would name only itself to
    // callers.
    const needsRecorded = hello.knowsGateways === false &&
      awaitedGateways.hasRecorded();
    if (publishedGateways || needsRecorded) sendGateways(session);
    log("gatewayJoined", { vm: gateway.vm, version });
  }

  function sendGateways(session: Session): void {
    const gateways = listKnownGateways();
    send(session, { type: "gateways", isWhole: true, gateways, gone: [] });
  }

  function handleHeartbeat(
    session: Session,
    beat: GatewayMessage & { type: "beat" },
  ): void {
    const { gateway } = session;
    if (!gateway || sessions.get(gateway.vm) !== session) return;
    session.lastSeenMs = listeningNow();
    if (beat.loads) session.loads = beat.loads;
    if (beat.version !== undefined) rollout.onApplied(gateway.vm, beat.version);
    tally.add(gateway.vm, beat.activity ?? {});
    if (beat.suspects.length > 0) {
      options.onSuspectedEngines(gateway.vm, beat.suspects);
      options.onSlowEngines(beat.suspects);
    }
    if (beat.lost) reportLostEngines(gateway, beat.lost);
    if (beat.leaving) options.onLeavingEngines([...beat.leaving]);
    beat.limits?.forEach(options.limits.take);
    options.quarantine.take(gateway.vm, beat);
    const { isReady, cutOffServices } = beat;
    const current = { ...gateway, isReady, cutOffServices };
    assertGatewayRecord(current);
    if (!isSameGateway(gateway, current)) session.gateway = current;
    if (beat.slowEngines) options.onSlowEngines(beat.slowEngines);
    if (!options.hasLease()) return;
    acknowledge(session, beat.sentMs);
    lendRetries(session, beat).catch((error) => closeFailed(session, error));
    grantTrials(session, beat);
  }

  function reportLostEngines(
    { vm, place }: GatewayRecord,
    found: readonly string[],
  ): void {
    const places = new Map(
      options.getEngines().map((engine) => [engine.engineId, engine.place]),
    );
    const engines = found.map((engineId) => ({
      engineId,
      place: places.get(engineId),
    }));
    const failures = lossReports.add({ vm, place, engines });
    publishFailures(
      failures.filter(({ isForAllPlaces }) => isForAllPlaces),
      { place, receivers: [...sessions.values()] },
    );
    publishFailures(
      failures.filter(({ isForAllPlaces }) => !isForAllPlaces),
      {
        place,
        receivers: [...sessions.values()]
          .filter(({ gateway }) => gateway?.place === place),
      },
    );
  }

  function publishFailures(
    failures: readonly ConfirmedFailure[],
    { place, receivers }: { place: string; receivers: readonly Session[] },
  ): void {
    if (failures.length === 0) return;
    const engineIds = failures.map(({ engineId }) => engineId);
    const message = codec.format({ type: "lost", engineIds });
    for (const session of receivers) write(session, message);
    log("engineFoundLost", {
      engineIds,
      place,
      toldPlaces: [
        ...new Set(receivers.map(({ gateway }) => gateway?.place)),
      ].sort(),
      sessions: receivers.length,
    });
  }

  // Only under the lease, so that no two leaders lend retries at the same time.
  async function lendRetries(
    session: Session,
    { retries, repeatsWanted, sentMs }: GatewayMessage & { type: "beat" },
  ): Promise<void> {
    const { holder } = session;
    if (!retries && !repeatsWanted) return;
    const reports = retries ?? makeReports(repeatsWanted);
    const counts = await options.retryLender.handleReports(holder, reports);
    const isCurrent = sessions.get(session.gateway?.vm ?? "") === session;
    if (!isCurrent || Object.keys(counts).length === 0) return;
    if (retries) {
      return send(session, { type: "retriesLent", counts, askedMs: sentMs });
    }
    for (const [service, count] of Object.entries(counts)) {
      if (count === 0) continue;
      send(session, { type: "repeatsLent", service, count, askedMs: sentMs });
    }
  }

  // Only under the lease, as two leaders would grant the same limit twice.
  function grantSends(
    session: Session,
    { counts, askedMs }: GatewayMessage & { type: "grantRequest" },
  ): void {
    const { gateway } = session;
    if (!gateway || sessions.get(gateway.vm) !== session) return;
    const grants = options.hasLease()
      ? options.limits.grant(counts)
      : denySends(counts);
    send(session, { type: "grants", grants, askedMs });
  }

  function denySends(counts: GrantCounts): SendGrants {
    return Object.keys(counts).map((engineId) => ({
      engineId,
      count: 0,
      retryAfterMs: NO_LEASE_RETRY_MS,
    }));
  }

  function grantTrials(
    session: Session,
    { trialsWanted = [], sentMs }: GatewayMessage & { type: "beat" },
  ): void {
    const vm = session.gateway?.vm ?? "";
    for (const wantedTrial of trialsWanted) {
      const engineId = options.quarantine.grantTrial(vm, wantedTrial);
      if (engineId === undefined) continue;
      const { requestKey } = wantedTrial;
      send(session, { type: "trial", requestKey, engineId, askedMs: sentMs });
    }
  }

  function acknowledge(session: Session, sentMs: number): void {
    const version = options.getAcceptedConfig()?.version ?? -1;
    send(session, { type: "beatAck", sentMs, version });
  }

  function handleSession(stream: SessionStream): void {
    const session: Session = {
      stream,
      gateway: undefined,
      holder: "",
      sentVersion: -1,
      lastSeenMs: listeningNow(),
      openedMs: listeningNow(),
      loads: undefined,
      isClosed: false,
    };
    stream.on("data", (received: wire.FleetMessage) => {
      if (session.isClosed) return;
      guard(session, () => handleMessage(session, codec.parse(received)));
    });
    stream.on("error", () => handleClosed(session));
    stream.on("end", () => stream.end());
    stream.on("close", () => handleClosed(session));
  }

  function handleMessage(session: Session, message: GatewayMessage): void {
    if (message.type === "beat") handleHeartbeat(session, message);
    else if (message.type === "grantRequest") grantSends(session, message);
    else handleHello(session, message);
  }

  // A gateway of another build may send what this one can't handle.
  function guard(session: Session, handle: () => void): void {
    try {
      handle();
    } catch (error) {
      closeFailed(session, error);
    }
  }

  function closeFailed(session: Session, error: unknown): void {
    log("messageFailed", { from: session.gateway?.vm, error });
    const details = "message can't be handled";
    session.stream.emit("error", { code: status.INVALID_ARGUMENT, details });
  }

  function handleClosed(session: Session): void {
    session.isClosed = true;
    removeSession(session);
  }

  function removeSession(session: Session): void {
    const { gateway } = session;
    if (!gateway || sessions.get(gateway.vm) !== session) return;
    sessions.delete(gateway.vm);
    tally.forget(gateway.vm);
    rollout.removeGateway(gateway.vm);
    log("gatewayLost", { vm: gateway.vm });
  }

  // Gateways with a session, and recorded ones that may still return.
  function listKnownGateways(): GatewayRecord[] {
    const present = [...sessions.values()]
      .flatMap(({ gateway }) => gateway ? [gateway] : []);
    return [...present, ...awaitedGateways.list()]
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
  }

  function knowsAllGateways(): boolean {
    return options.knowsAllGateways() && awaitedGateways.list().length === 0;
  }

  function hasAllLoads(): boolean {
    return [...sessions.values()].every(({ loads, openedMs }) =>
      loads !== undefined || listeningNow() - openedMs >= FIRST_LOADS_TIMEOUT_MS
    );
  }

  // Runs once per tick and sends only changes: every message goes to all gateways, so
  // many that change together have to share one. A new leader waits for all gateways,
  // as a list of the first few would leave callers with too few to choose from.
  function publishGateways(): void {
    if (!knowsAllGateways()) return;
    const current = new Map(
      listKnownGateways().map((gateway) => [gateway.vm, gateway]),
    );
    const previous = publishedGateways ?? new Map<string, GatewayRecord>();
    const isWhole = publishedGateways === undefined;
    const { changed, gone } = findMapChanges(previous, current, isSameGateway);
    publishedGateways = current;
    if (!isWhole && changed.length + gone.length === 0) return;
    broadcast({ type: "gateways", isWhole, gateways: changed, gone });
  }

  return {
    handleSession,
    publishConfig(version) {
      rollout.onAccepted(version);
      batchTimer ??= setTimeout(() => {
        batchTimer = undefined;
        sendConfigToAll();
      }, CONFIG_BATCH_MS);
    },
    awaitGateways(recorded) {
      const present = new Set(sessions.keys());
      awaitedGateways.beginWait(
        [...recorded].filter(({ vm }) => !present.has(vm)),
      );
    },
    getPublishedGateways: () => publishedGateways,
    publishEngines(change) {
      codec.invalidateEngines();
      broadcast({ type: "engines", isWhole: false, ...change });
    },
    publish: broadcast,
    publishAllEngines() {
      codec.invalidateEngines();
      writeToAll(codec.formatEngines());
    },
    tick() {
      for (const session of sessions.values()) {
        if (listeningNow() - session.lastSeenMs < SESSION_TIMEOUT_MS) continue;
        removeSession(session);
        session.stream.end();
      }
      awaitedGateways.tick();
      publishGateways();
    },
    publishLoads() {
      // Loads of only some gateways would make engines look idle. A new leader also
      // hasn't counted streams for a whole window yet.
      if (!knowsAllGateways()) return;
      if (publishedLoads === "" && !hasAllLoads()) return;
      const loads = sumLoads(
        [...sessions.values()].map((session) => session.loads ?? {}),
      );
      const activity = tally.get();
      const serialized = JSON.stringify([loads, activity]);
      if (serialized === publishedLoads) return;
      publishedLoads = serialized;
      broadcast({ type: "loads", loads, activity });
    },
    closeAll() {
      const address = options.getLeaderAddress();
      for (const { stream } of sessions.values()) redirect(stream, address);
      for (const vm of sessions.keys()) {
        tally.forget(vm);
        rollout.removeGateway(vm);
      }
      sessions.clear();
      // If it leads again later, the cached list of engines would be outdated.
      codec.invalidateEngines();
      publishedGateways = undefined;
      publishedLoads = "";
      awaitedGateways.reset();
    },
  };
}

// Gateways of earlier builds only tell what they need.
function makeReports(
  wanted: Readonly<Record<string, number>> = {},
): RetryReports {
  return Object.fromEntries(
    Object.entries(wanted).map(([service, needed]) => [service, { needed }]),
  );
}
