/**
 * A gateway's session with the control process that leads.
 *
 * @module
 */

import type { ClientDuplexStream } from "@grpc/grpc-js";
import { createListeningClock } from "../clocks/index.ts";
import {
  createEngineNumbers,
  type EngineLoads,
  type EngineNumbers,
  formatGatewayMessage,
  type GatewayActivity,
  type GatewayMessage,
  type GatewayRecord,
  type GrantCounts,
  type LeaderMessage,
  type LimitReport,
  parseLeaderMessage,
} from "../fleet/index.ts";
import type { Logger } from "../logs/index.ts";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  wire,
} from "../wire/index.ts";
import { createControlChoice } from "./create_control_choice.ts";
import type { QuarantineTold } from "./create_quarantine.ts";

/** What the link needs of its program. */
export interface CreateFleetLinkOptions {
  /** Control processes to begin with; read anew for each search. */
  readonly getSeedAddresses: () => readonly string[];
  readonly getGateway: () => GatewayRecord;
  /** Gateways that lose a leader together with this one; 0 before it was told of any. */
  readonly getGatewayCount: () => number;
  /** Version of the configuration in force here; -1 without any. */
  readonly getVersion: () => number;
  readonly takeSuspects: () => readonly string[];
  /** Engines that questions found lost since the last call. */
  readonly takeLost: () => readonly string[];
  /** Engines of streams that had long pauses since the last call. */
  readonly takeSlow: () => readonly string[];
  /** Upstreams that said that they leave, which the leader may not know. */
  readonly listLeaves: () => readonly string[];
  /** This gateway's work in flight. */
  readonly getLoads: () => EngineLoads;
  /** Repeats that this gateway would borrow, by service. */
  readonly getRepeatsWanted: () => Readonly<Record<string, number>>;
  /** What this gateway's streams did since the last call. */
  readonly takeActivity: () => GatewayActivity;
  /** What the leader is told of suspected requests. */
  readonly getQuarantineNews: () => QuarantineTold;
  /** Rate limits of upstreams of which the leader has not been told. */
  readonly takeLimitReports: () => readonly LimitReport[];
  /** Called by each leader that takes it in, with what it knows. */
  readonly onWelcome: (welcome: LeaderMessage & { type: "welcome" }) => void;
  readonly onMessage: (message: LeaderMessage) => void;
  /** Called when the leader surely held this version at `sentMs`. */
  readonly onConfirmed: (sentMs: number, version: number) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
}

/** A gateway's session with the leader. */
export interface FleetLink extends AsyncDisposable {
  /** Sends a beat at once, for news that must not wait. */
  beat(): void;
  /** Sends a beat in a moment, together with what else is found meanwhile. */
  beatSoon(): void;
  /** Asks for leave to send to upstreams that are limited; false without a session. */
  requestGrants(counts: GrantCounts, askedMs: number): boolean;
  /** Ends the session; the next one begins with a hello again. */
  renew(): void;
}

/** Ms between two beats. */
const BEAT_INTERVAL_MS = 350;

/** Ms for which news that must not wait is gathered into one beat. */
const GATHER_MS = 5;

/** Ms of silence after which the leader is looked for anew. */
const SILENCE_MS = 1_200;

/**
 * Ms, for each gateway, over which those that lost a leader look for the next
 * one. 200 sessions that come within half a second cost the leader some 0.3 s of a
 * core (real processes, loopback), nearly all that a small VM has meanwhile. What
 * the spread gains by itself was not measured.
 */
const SEARCH_SPREAD_MS = 3;

/**
 * Ms after which the next control process is asked beside one that has not
 * answered yet.
 */
const TRY_NEXT_MS = 200;

/**
 * The same where one was named as the leader, or has taken the call and answers once
 * it knows a leader.
 */
const TRY_NEXT_LIKELY_MS = 500;

/**
 * Ms for a control process to take a call at first. One that many gateways ask at
 * once takes long, so each time that it is given up it gets twice as much.
 */
const ACCEPT_TIMEOUT_MS = 3_000;

/** Longest time, in ms, for a control process to take a call. */
const MAX_ACCEPT_TIMEOUT_MS = 24_000;

/**
 * Ms for a control process that took the call to welcome or redirect: longer than one
 * keeps a gateway that waits for a leader.
 */
const WELCOME_TIMEOUT_MS = 15_000;

/** Ms between two looks at the session. */
const CHECK_INTERVAL_MS = 100;

type SessionStream = ClientDuplexStream<wire.FleetMessage, wire.FleetMessage>;

/** A stream to a control process; a session once that has welcomed the gateway. */
interface Session {
  readonly address: string;
  readonly client: wire.FleetClient;
  readonly stream: SessionStream;
  /** Numbers of engines; each leader gives its own. */
  readonly numbers: EngineNumbers;
  /** When it was asked, in ms. */
  readonly askedMs: number;
  /** Whether the control process has taken the call. */
  isAccepted: boolean;
  /** When it was heard last, in ms for which it could be. */
  heardMs: number;
  /** Whether the leader has told its engines, and so their numbers. */
  knowsNumbers: boolean;
  /** Loads that the leader was told, as text; empty before the first time. */
  toldLoads: string;
  /** Version of the configuration that the leader was told. */
  toldVersion: number;
}

/**
 * Opens the link; it looks for the leader until it is disposed of.
 *
 * @param options - Whom to ask, what to tell, who hears the answers.
 * @returns The link.
 * @throws Nothing.
 * @example
 * await using link = createFleetLink(options);
 */
export function createFleetLink(options: CreateFleetLinkOptions): FleetLink {
  const { now, log } = options;
  const listening = createListeningClock({
    now,
    lookIntervalMs: CHECK_INTERVAL_MS,
  });
  let controlAddresses: readonly string[] = [];
  let session: Session | undefined;
  // Control processes that have not welcomed or redirected this gateway yet; each is
  // asked once at a time.
  const tries = new Set<Session>();
  let triedMs = -Infinity;
  const choice = createControlChoice({
    listAddresses: () => [...controlAddresses, ...options.getSeedAddresses()],
    now,
    random: options.random,
  });
  let beatDueMs = 0;
  let searchDueMs = 0;
  // Since when there is no leader, and how many addresses were tried since then.
  let lostMs = now();
  let triedCount = 0;
  let gathering: ReturnType<typeof setTimeout> | undefined;

  function open(address: string): void {
    const client = new wire.FleetClient(
      address,
      createClientCredentials(),
      CHANNEL_OPTIONS,
    );
    const stream = client.session();
    const opened: Session = {
      address,
      client,
      stream,
      numbers: createEngineNumbers(),
      askedMs: now(),
      isAccepted: false,
      heardMs: listening.now(),
      knowsNumbers: false,
      toldLoads: "",
      toldVersion: options.getVersion(),
    };
    tries.add(opened);
    triedMs = now();
    triedCount += 1;
    stream.on("metadata", () => {
      opened.isAccepted = true;
      opened.heardMs = listening.now();
    });
    stream.on("data", (received: wire.FleetMessage) => {
      if (session !== opened && !tries.has(opened)) return;
      take(opened, parseLeaderMessage(received, opened.numbers));
    });
    stream.on("error", () => close(opened, "broken"));
    stream.on("end", () => close(opened, "ended"));
    send(opened, {
      type: "hello",
      gateway: options.getGateway(),
      version: opened.toldVersion,
      knowsGateways: options.getGatewayCount() > 0,
      sentMs: now(),
    });
  }

  function send(to: Session, message: GatewayMessage): void {
    to.stream.write(formatGatewayMessage(message, to.numbers));
  }

  function close(closed: Session, reason: string): void {
    abandon(closed);
    if (tries.delete(closed)) return noteFailure(closed, reason);
    if (session !== closed) return;
    session = undefined;
    lostMs = now();
    triedCount = 0;
    choice.noteLost(closed.address);
    const spreadMs = SEARCH_SPREAD_MS * options.getGatewayCount();
    searchDueMs = now() + spreadMs * options.random();
    log("controlLost", { address: closed.address, reason });
  }

  function abandon({ stream, client }: Session): void {
    stream.cancel();
    client.close();
  }

  function abandonTries(): void {
    const abandoned = [...tries];
    tries.clear();
    abandoned.forEach(abandon);
  }

  function noteFailure({ address, askedMs }: Session, reason: string): void {
    choice.noteFailure(address);
    const waitedMs = Math.round(now() - askedMs);
    log("controlNotReached", { address, reason, waitedMs });
  }

  function begin(welcomed: Session): void {
    tries.delete(welcomed);
    abandonTries();
    choice.reset();
    session = welcomed;
    beatDueMs = 0;
  }

  function take(from: Session, message: LeaderMessage): void {
    from.heardMs = listening.now();
    switch (message.type) {
      case "redirect":
        close(from, "redirected");
        if (message.address === "") return;
        choice.noteNamed(message.address, { by: from.address });
        // The next look follows it, whoever else was asked just now.
        triedMs = -Infinity;
        return;
      case "welcome":
        begin(from);
        options.onWelcome(message);
        controlAddresses = message.controlAddresses;
        log("controlConnected", {
          address: from.address,
          searchedMs: Math.round(now() - lostMs),
          tried: triedCount,
        });
        return;
      case "beatAck":
        return options.onConfirmed(message.sentMs, message.version);
      case "engines":
        from.knowsNumbers = true;
        return options.onMessage(message);
      default:
        return options.onMessage(message);
    }
  }

  function check(): void {
    listening.look();
    if (!session) return search();
    if (listening.now() - session.heardMs > SILENCE_MS) {
      return close(session, "silent");
    }
    if (now() >= beatDueMs) beat();
  }

  function search(): void {
    for (const tried of tries) {
      const silentMs = listening.now() - tried.heardMs;
      if (silentMs > getPatienceMs(tried)) close(tried, "silent");
    }
    if (now() < searchDueMs) return;
    if (now() - triedMs < getNextTryMs()) return;
    const address = choice.findNext(listTried());
    if (address !== undefined) open(address);
  }

  function getNextTryMs(): number {
    if (tries.size === 0) return 0;
    const isLikely = [...tries].some(({ address, isAccepted }) =>
      isAccepted || choice.isNamed(address)
    );
    return isLikely ? TRY_NEXT_LIKELY_MS : TRY_NEXT_MS;
  }

  function getPatienceMs({ address, isAccepted }: Session): number {
    if (isAccepted) return WELCOME_TIMEOUT_MS;
    const patienceMs = ACCEPT_TIMEOUT_MS * 2 ** choice.countFailures(address);
    return Math.min(MAX_ACCEPT_TIMEOUT_MS, patienceMs);
  }

  function listTried(): ReadonlySet<string> {
    return new Set([...tries].map(({ address }) => address));
  }

  function beat(): void {
    if (!session) return;
    beatDueMs = now() + BEAT_INTERVAL_MS;
    // What the leader can't be told yet is news once it can.
    const loads = session.numbers.keepNumbered(options.getLoads());
    const told = JSON.stringify(loads);
    const isNews = session.knowsNumbers && told !== session.toldLoads;
    if (isNews) session.toldLoads = told;
    const version = options.getVersion();
    const isNewVersion = version !== session.toldVersion;
    session.toldVersion = version;
    const activity = options.takeActivity();
    const lost = options.takeLost();
    const slowEngines = options.takeSlow();
    const leaving = options.listLeaves();
    const repeatsWanted = options.getRepeatsWanted();
    const limits = options.takeLimitReports();
    send(session, {
      type: "beat",
      sentMs: now(),
      isReady: options.getGateway().isReady,
      suspects: options.takeSuspects(),
      ...(isNews ? { loads } : {}),
      ...(isNewVersion ? { version } : {}),
      ...(lost.length > 0 ? { lost } : {}),
      ...(slowEngines.length > 0 ? { slowEngines } : {}),
      ...(leaving.length > 0 ? { leaving } : {}),
      ...(limits.length > 0 ? { limits } : {}),
      ...(isEmpty(activity) ? {} : { activity }),
      ...(isEmpty(repeatsWanted) ? {} : { repeatsWanted }),
      ...options.getQuarantineNews(),
    });
  }

  function beatSoon(): void {
    gathering ??= setTimeout(beatNow, GATHER_MS);
  }

  function beatNow(): void {
    clearTimeout(gathering);
    gathering = undefined;
    beat();
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS);
  check();
  return {
    beat,
    beatSoon,
    requestGrants(counts, askedMs) {
      if (!session) return false;
      // A limit of which the leader has not heard is none: the news goes first.
      if (gathering !== undefined) beatNow();
      send(session, { type: "grantRequest", counts, askedMs });
      return true;
    },
    renew() {
      if (!session) return;
      const { address } = session;
      close(session, "renewed");
      choice.noteNamed(address);
    },
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      clearInterval(timer);
      clearTimeout(gathering);
      abandonTries();
      if (session) close(session, "stopping");
    },
  };
}

function isEmpty(fields: Readonly<Record<string, unknown>>): boolean {
  return Object.keys(fields).length === 0;
}
