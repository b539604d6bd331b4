/**
 * The leader's sessions with gateways.
 *
 * @module
 */

import {
  type handleBidiStreamingCall,
  Metadata,
  type ServerDuplexStream,
} from "@grpc/grpc-js";
import { findMapChanges } from "../collections/index.ts";
import type { EngineRecord } from "../engines/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { wire } from "../wire/index.ts";
import { createActivityTally } from "./create_activity_tally.ts";
import { createAwaitedGateways } from "./create_awaited_gateways.ts";
import { createHelloQueue } from "./create_hello_queue.ts";
import { createLossReports } from "./create_loss_reports.ts";
import { createRolloutWatch } from "./create_rollout_watch.ts";
import type { EngineChange } from "./create_engine_registry.ts";
import type { LimitDesk } from "./create_limit_desk.ts";
import type { QuarantineDesk } from "./create_quarantine_desk.ts";
import { createWrittenNews } from "./create_written_news.ts";
import type { ConfigHistory } from "./create_config_history.ts";
import type { AcceptedConfig } from "./create_fleet_machine.ts";
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

/** What the sessions need of their program. */
export interface CreateGatewaySessionsOptions {
  readonly isLeader: () => boolean;
  /** Whether it surely leads at this moment. */
  readonly hasLease: () => boolean;
  /** Resolves once it surely leads and knows what earlier leaders recorded. */
  readonly confirmRead: () => Promise<void>;
  /** Address of a leader that was heard of just now; empty if none was. */
  readonly getLeaderAddress: () => string;
  readonly getControlAddresses: () => readonly string[];
  readonly getAccepted: () => AcceptedConfig | undefined;
  /** Configurations that gateways may have. */
  readonly history: Pick<ConfigHistory, "get" | "read">;
  readonly getEngines: () => readonly EngineRecord[];
  /** Whether this leader has heard long enough to know all engines. */
  readonly knowsAllEngines: () => boolean;
  /** Whether gateways have had the time to find this leader. */
  readonly knowsAllGateways: () => boolean;
  /** Lends repeats of a service; gives how many. */
  readonly lendRepeats: (service: string, wanted: number) => number;
  readonly quarantine: Pick<
    QuarantineDesk,
    "take" | "grantTrial" | "list"
  >;
  readonly limits: Pick<LimitDesk, "take" | "grant" | "list">;
  readonly onSuspects: (vm: string, engineIds: readonly string[]) => void;
  /** Called when a gateway names upstreams that said that they leave. */
  readonly onLeaving: (engineIds: readonly string[]) => void;
  /** Called when a gateway names engines of slow streams, or silent ones. */
  readonly onSlow: (engineIds: readonly string[]) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Ms for which gateways could be heard; the time by default. */
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
  /** Tells a version that was just accepted. */
  publishConfig(version: number): void;
  /** Waits for the gateways that earlier leaders recorded. */
  expectGateways(recorded: Iterable<GatewayRecord>): void;
  /** The list of gateways that all were told; undefined before the first time. */
  getToldGateways(): ReadonlyMap<string, GatewayRecord> | undefined;
  publishEngines(change: EngineChange): void;
  /** Tells all engines at once, in place of what gateways knew before. */
  publishAllEngines(): void;
  /** Ends the sessions that fell silent; tells the others who is live. */
  tick(): void;
  /** Tells all gateways something. */
  publish(message: LeaderMessage): void;
  /** Tells the gateways what all of them have in flight. */
  publishLoads(): void;
  closeAll(): void;
}

interface Session {
  readonly stream: SessionStream;
  gateway: GatewayRecord | undefined;
  sentVersion: number;
  heardMs: number;
  /** When it began, in ms. */
  readonly openedMs: number;
  /** Its work in flight, as it told last; undefined before. */
  loads: EngineLoads | undefined;
  isClosed: boolean;
}

/** Ms of silence after which a gateway is no longer named to callers. */
const SILENCE_MS = 1_500;

/** Ms after which a leader that doesn't surely lead may be asked for sends again. */
const NO_LEASE_RETRY_MS = 300;

/** Bytes that may wait for a slow gateway; then its session ends. */
const MAX_WAITING_BYTES = 8 * 1024 * 1024;

/** Ms for a gateway that joined to tell its work, which then counts as none. */
const FIRST_LOADS_MS = 1_500;

/** Ms for which versions in quick succession are gathered into one message. */
const CONFIG_GATHER_MS = 100;

/**
 * Makes the leader's sessions.
 *
 * @param options - What the sessions tell and whom they tell it.
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
  // What all sessions were told, by VM; undefined before the first time.
  let toldGateways: ReadonlyMap<string, GatewayRecord> | undefined;
  // What was told of loads and streams, as text; empty before the first time.
  let toldLoads = "";
  let gathering: ReturnType<typeof setTimeout> | undefined;
  const news = createWrittenNews(options);
  const tally = createActivityTally({ now });
  const losses = createLossReports({ now });
  const rollout = createRolloutWatch(options);
  const hellos = createHelloQueue(options);
  const awaited = createAwaitedGateways({ now: listeningNow, log });

  function send(session: Session, message: LeaderMessage): void {
    write(session, news.format(message));
  }

  function broadcast(message: LeaderMessage): void {
    writeToAll(news.format(message));
  }

  function writeToAll(message: wire.FleetMessage): void {
    for (const session of sessions.values()) write(session, message);
  }

  function write({ stream }: Session, message: wire.FleetMessage): void {
    if (stream.writableLength > MAX_WAITING_BYTES) {
      stream.end();
      return;
    }
    stream.write(message);
  }

  function redirect(stream: SessionStream, address: string): void {
    stream.write(news.format({ type: "redirect", address }));
    stream.end();
  }

  function sendConfig(session: Session): void {
    const accepted = options.getAccepted();
    if (!accepted) return;
    if (accepted.version <= session.sentVersion) return;
    write(session, news.formatConfig(accepted, session.sentVersion));
    session.sentVersion = accepted.version;
  }

  function sendConfigToAll(): void {
    const accepted = options.getAccepted();
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

  function takeHello(
    session: Session,
    hello: GatewayMessage & { type: "hello" },
  ): void {
    const { stream } = session;
    // A gateway that hears anything gives a busy process more time.
    stream.sendMetadata(new Metadata());
    hellos.take({
      isClosed: () => session.isClosed,
      welcome: () => welcome(session, hello),
      redirect: (address) => redirect(stream, address),
    });
  }

  function welcome(
    session: Session,
    hello: GatewayMessage & { type: "hello" },
  ): void {
    const { gateway, version, sentMs } = hello;
    sessions.get(gateway.vm)?.stream.end();
    session.gateway = gateway;
    session.sentVersion = version;
    session.heardMs = listeningNow();
    sessions.set(gateway.vm, session);
    awaited.noteBack(gateway.vm);
    rollout.noteHeld(gateway.vm, version);
    const controlAddresses = options.getControlAddresses();
    // The suspects come before the engines: from then on it sends requests. They are
    // no message of their own: of what joins cost, nearly all is single messages.
    const cases = options.quarantine.list();
    const limits = options.limits.list();
    send(session, { type: "welcome", controlAddresses, cases, limits });
    sendConfig(session);
    write(session, news.formatEngines());
    // The read was confirmed after the hello was sent, as with any beat.
    confirm(session, sentMs);
    // Who has just started knows nobody, and names itself alone to callers.
    const isAwaited = hello.knowsGateways === false && awaited.hasExpected();
    if (toldGateways || isAwaited) tellGateways(session);
    log("gatewayJoined", { vm: gateway.vm, version });
  }

  function tellGateways(session: Session): void {
    const gateways = getCountedGateways();
    send(session, { type: "gateways", isWhole: true, gateways, gone: [] });
  }

  function takeBeat(
    session: Session,
    beat: GatewayMessage & { type: "beat" },
  ): void {
    const { gateway } = session;
    if (!gateway || sessions.get(gateway.vm) !== session) return;
    session.heardMs = listeningNow();
    if (beat.loads) session.loads = beat.loads;
    if (beat.version !== undefined) rollout.noteHeld(gateway.vm, beat.version);
    tally.take(gateway.vm, beat.activity ?? {});
    if (beat.suspects.length > 0) {
      options.onSuspects(gateway.vm, beat.suspects);
      options.onSlow(beat.suspects);
    }
    if (beat.lost) tellLost(gateway, beat.lost);
    if (beat.leaving) options.onLeaving(beat.leaving);
    beat.limits?.forEach(options.limits.take);
    options.quarantine.take(gateway.vm, beat);
    if (gateway.isReady !== beat.isReady) {
      session.gateway = { ...gateway, isReady: beat.isReady };
    }
    if (beat.slowEngines) options.onSlow(beat.slowEngines);
    if (!options.hasLease()) return;
    confirm(session, beat.sentMs);
    lendRepeats(session, beat);
    grantTrials(session, beat);
  }

  function tellLost(
    { vm, place }: GatewayRecord,
    found: readonly string[],
  ): void {
    const engineIds = losses.take({ vm, place, engineIds: found });
    if (engineIds.length === 0) return;
    for (const session of sessions.values()) {
      if (session.gateway?.place !== place) continue;
      send(session, { type: "lost", engineIds });
    }
    log("engineFoundLost", { engineIds, place });
  }

  // Only while it surely leads: no other leader lends at the same time.
  function lendRepeats(
    session: Session,
    { repeatsWanted = {}, sentMs }: GatewayMessage & { type: "beat" },
  ): void {
    for (const [service, wanted] of Object.entries(repeatsWanted)) {
      const count = options.lendRepeats(service, wanted);
      if (count === 0) continue;
      send(session, { type: "repeatsLent", service, count, askedMs: sentMs });
    }
  }

  // Only while it surely leads: two leaders would grant a limit twice.
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
    for (const wish of trialsWanted) {
      const engineId = options.quarantine.grantTrial(vm, wish);
      if (engineId === undefined) continue;
      const { requestKey } = wish;
      send(session, { type: "trial", requestKey, engineId, askedMs: sentMs });
    }
  }

  function confirm(session: Session, sentMs: number): void {
    const version = options.getAccepted()?.version ?? -1;
    send(session, { type: "beatAck", sentMs, version });
  }

  function handleSession(stream: SessionStream): void {
    const session: Session = {
      stream,
      gateway: undefined,
      sentVersion: -1,
      heardMs: listeningNow(),
      openedMs: listeningNow(),
      loads: undefined,
      isClosed: false,
    };
    stream.on("data", (received: wire.FleetMessage) => {
      const message = news.parse(received);
      if (message.type === "beat") takeBeat(session, message);
      else if (message.type === "grantRequest") grantSends(session, message);
      else takeHello(session, message);
    });
    stream.on("error", () => noteClosed(session));
    stream.on("end", () => stream.end());
    stream.on("close", () => noteClosed(session));
  }

  function noteClosed(session: Session): void {
    session.isClosed = true;
    forget(session);
  }

  function forget(session: Session): void {
    const { gateway } = session;
    if (!gateway || sessions.get(gateway.vm) !== session) return;
    sessions.delete(gateway.vm);
    tally.forget(gateway.vm);
    rollout.forget(gateway.vm);
    log("gatewayLost", { vm: gateway.vm });
  }

  // Those with a session, and those that are still waited for.
  function getCountedGateways(): GatewayRecord[] {
    const present = [...sessions.values()]
      .flatMap(({ gateway }) => gateway ? [gateway] : []);
    return [...present, ...awaited.list()]
      .sort((a, b) => a.vm < b.vm ? -1 : 1);
  }

  function knowsAllGateways(): boolean {
    return options.knowsAllGateways() && awaited.list().length === 0;
  }

  function knowsAllLoads(): boolean {
    return [...sessions.values()].every(({ loads, openedMs }) =>
      loads !== undefined || listeningNow() - openedMs >= FIRST_LOADS_MS
    );
  }

  // Once a tick, and only what changed: when many gateways change together,
  // each piece of news goes to all of them. A new leader's first few would
  // empty the callers' choice.
  function publishGateways(): void {
    if (!knowsAllGateways()) return;
    const current = new Map(getCountedGateways().map((one) => [one.vm, one]));
    const told = toldGateways ?? new Map<string, GatewayRecord>();
    const isWhole = toldGateways === undefined;
    const { changed, gone } = findMapChanges(told, current, isSameGateway);
    toldGateways = current;
    if (!isWhole && changed.length + gone.length === 0) return;
    broadcast({ type: "gateways", isWhole, gateways: changed, gone });
  }

  return {
    handleSession,
    publishConfig(version) {
      rollout.noteAccepted(version);
      gathering ??= setTimeout(() => {
        gathering = undefined;
        sendConfigToAll();
      }, CONFIG_GATHER_MS);
    },
    expectGateways(recorded) {
      const present = new Set(sessions.keys());
      awaited.expect([...recorded].filter(({ vm }) => !present.has(vm)));
    },
    getToldGateways: () => toldGateways,
    publishEngines(change) {
      news.forgetEngines();
      broadcast({ type: "engines", isWhole: false, ...change });
    },
    publish: broadcast,
    publishAllEngines() {
      news.forgetEngines();
      writeToAll(news.formatEngines());
    },
    tick() {
      for (const session of sessions.values()) {
        if (listeningNow() - session.heardMs < SILENCE_MS) continue;
        forget(session);
        session.stream.end();
      }
      awaited.tick();
      publishGateways();
    },
    publishLoads() {
      // A part of the gateways told as all would make engines look empty, and a
      // new leader has not counted streams for a whole window yet.
      if (!knowsAllGateways()) return;
      if (toldLoads === "" && !knowsAllLoads()) return;
      const loads = sumLoads(
        [...sessions.values()].map((session) => session.loads ?? {}),
      );
      const activity = tally.get();
      const told = JSON.stringify([loads, activity]);
      if (told === toldLoads) return;
      toldLoads = told;
      broadcast({ type: "loads", loads, activity });
    },
    closeAll() {
      const address = options.getLeaderAddress();
      for (const { stream } of sessions.values()) redirect(stream, address);
      for (const vm of sessions.keys()) {
        tally.forget(vm);
        rollout.forget(vm);
      }
      sessions.clear();
      // Should it lead again, engines that were there now may be gone.
      news.forgetEngines();
      toldGateways = undefined;
      toldLoads = "";
      awaited.reset();
    },
  };
}
