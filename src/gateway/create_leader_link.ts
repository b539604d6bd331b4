/**
 * A gateway's session with the leader of the control processes.
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
  type RetryReport,
} from "../fleet/index.ts";
import type { Logger } from "../logs/index.ts";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  isDialable,
  wire,
} from "../wire/index.ts";
import { createControlSelector } from "./create_control_selector.ts";
import type { QuarantineUpdate } from "./create_quarantine.ts";

/** Options of {@link createLeaderLink}. */
export interface CreateLeaderLinkOptions {
  /** Initial control process addresses; read again for each search. */
  readonly getSeedAddresses: () => readonly string[];
  readonly getGateway: () => GatewayRecord;
  /** Number of gateways in the fleet; 0 until the leader has sent the list. */
  readonly getGatewayCount: () => number;
  /** Version of the active configuration; -1 if there is none. */
  readonly getVersion: () => number;
  readonly takeSuspects: () => readonly string[];
  /** Returns and clears the engines that probes found failed. */
  readonly takeLostEngines: () => readonly string[];
  /** Returns and clears the engines whose streams had long pauses. */
  readonly takeSlowEngines: () => readonly string[];
  /** Upstreams that announced that they leave, if the leader may not know. */
  readonly listUnreportedLeaving: () => readonly string[];
  /** Load of the engines caused by this gateway's requests in flight. */
  readonly getLoads: () => EngineLoads;
  /** Random name of this process. */
  readonly processId: string;
  /** Returns and clears what is to be reported of retries, by service. */
  readonly takeRetryReports: () => Readonly<Record<string, RetryReport>>;
  /** Returns and resets the activity of this gateway's streams. */
  readonly takeActivity: () => GatewayActivity;
  /** Pending quarantine reports and trial requests for the leader. */
  readonly collectQuarantineUpdate: () => QuarantineUpdate;
  /** Returns and clears the upstream rate limits not yet reported to the leader. */
  readonly takeLimitReports: () => readonly LimitReport[];
  /** Called with the state sent by each leader that accepts this gateway. */
  readonly onWelcome: (
    welcome: LeaderMessage & { type: "welcome" },
    session: { readonly isNewLeader: boolean },
  ) => void;
  readonly onMessage: (message: LeaderMessage) => void;
  /** Called when the leader confirms that it had `version` at `sentMs` or later. */
  readonly onVersionConfirmed: (sentMs: number, version: number) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
  readonly log: Logger;
}

/** A gateway's session with the leader. */
export interface LeaderLink extends AsyncDisposable {
  /** Sends a heartbeat at once, for urgent reports. */
  beat(): void;
  /** Sends a heartbeat after a few ms, so that several reports share it. */
  scheduleHeartbeat(): void;
  /** Requests grants to send to rate-limited upstreams; false without a session. */
  requestGrants(counts: GrantCounts, askedMs: number): boolean;
  /** Closes the session, so that a new one starts with a hello. */
  reconnect(): void;
}

/** Interval between heartbeats. */
const HEARTBEAT_INTERVAL_MS = 350;

/** Time for which urgent reports are collected into one heartbeat. */
const HEARTBEAT_BATCH_MS = 5;

/** Time without a message after which the session is closed and the leader searched. */
const LEADER_TIMEOUT_MS = 1_200;

/**
 * Ms of jitter per gateway in the fleet before the search for a new leader. 200
 * sessions opened within half a second cost the leader about 0.3 s of CPU time (real
 * processes, loopback), nearly all that a small VM has in that time. The gain from
 * the jitter alone is unknown.
 */
const SEARCH_JITTER_PER_GATEWAY_MS = 3;

/**
 * Delay before the next control process is tried while an earlier attempt is still
 * unanswered.
 */
const NEXT_ATTEMPT_DELAY_MS = 200;

/**
 * The same delay if a pending attempt is likely to succeed: its control process was
 * named as the leader, or has accepted the call and answers once it knows a leader.
 */
const LIKELY_ATTEMPT_DELAY_MS = 500;

/**
 * Initial timeout for a control process to accept the call. With many gateways
 * connecting at once it is slow to accept, so the timeout doubles per failed attempt.
 */
const INITIAL_ACCEPT_TIMEOUT_MS = 3_000;

/** Upper bound of the accept timeout. */
const MAX_ACCEPT_TIMEOUT_MS = 24_000;

/**
 * Timeout for a control process that accepted the call to welcome or redirect. It is
 * longer than a control process holds a gateway while there is no leader.
 */
const WELCOME_TIMEOUT_MS = 15_000;

/** Interval between checks of the session. */
const CHECK_INTERVAL_MS = 100;

type SessionStream = ClientDuplexStream<wire.FleetMessage, wire.FleetMessage>;

/** A stream to a control process; a session once the gateway is welcomed. */
interface Session {
  readonly address: string;
  readonly client: wire.FleetClient;
  readonly stream: SessionStream;
  /** Numbers that stand for engine ids in messages; each leader assigns its own. */
  readonly numbers: EngineNumbers;
  /** When the stream was opened, in ms. */
  readonly askedMs: number;
  /** Whether the control process has accepted the call. */
  isAccepted: boolean;
  /** Time of the last message, in ms of the listening clock. */
  lastReceivedMs: number;
  /** Whether the leader has sent its engines, and thereby their numbers. */
  hasEngineNumbers: boolean;
  /** Loads last sent to the leader, as JSON; empty before the first time. */
  sentLoads: string;
  /** Version of the configuration last sent to the leader. */
  sentVersion: number;
}

/**
 * Opens the link. It searches for the leader, and reconnects after each loss, until it
 * is disposed of.
 *
 * @param options - Addresses, sources of the reports and callbacks for messages.
 * @returns The link.
 * @throws Nothing.
 * @example
 * await using link = createLeaderLink(options);
 */
export function createLeaderLink(options: CreateLeaderLinkOptions): LeaderLink {
  const { now, log } = options;
  const listening = createListeningClock({
    now,
    tickIntervalMs: CHECK_INTERVAL_MS,
  });
  let controlAddresses: readonly string[] = [];
  let session: Session | undefined;
  let lastLeaderAddress = "";
  // Streams to control processes that have not welcomed or redirected this gateway
  // yet, at most one for each address.
  const attempts = new Set<Session>();
  let lastAttemptMs = -Infinity;
  const selector = createControlSelector({
    listAddresses: () => [...controlAddresses, ...options.getSeedAddresses()],
    now,
    random: options.random,
  });
  let heartbeatDueMs = 0;
  let searchDueMs = 0;
  // Start of the search for a leader, and the number of attempts since.
  let searchStartMs = now();
  let attemptCount = 0;
  let heartbeatTimer: ReturnType<typeof setTimeout> | undefined;

  function connect(address: string): void {
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
      lastReceivedMs: listening.now(),
      hasEngineNumbers: false,
      sentLoads: "",
      sentVersion: options.getVersion(),
    };
    attempts.add(opened);
    lastAttemptMs = now();
    attemptCount += 1;
    stream.on("metadata", () => {
      opened.isAccepted = true;
      opened.lastReceivedMs = listening.now();
    });
    stream.on("data", (received: wire.FleetMessage) => {
      if (session !== opened && !attempts.has(opened)) return;
      // A leader of another build may send what this one can't handle.
      try {
        handleMessage(opened, parseLeaderMessage(received, opened.numbers));
      } catch (error) {
        log("messageFailed", { from: opened.address, error });
        close(opened, "unreadable");
      }
    });
    stream.on("error", () => close(opened, "broken"));
    stream.on("end", () => close(opened, "ended"));
    send(opened, {
      type: "hello",
      gateway: options.getGateway(),
      version: opened.sentVersion,
      processId: options.processId,
      knowsGateways: options.getGatewayCount() > 0,
      sentMs: now(),
    });
  }

  function send(to: Session, message: GatewayMessage): void {
    to.stream.write(formatGatewayMessage(message, to.numbers));
  }

  function close(closed: Session, reason: string): void {
    abandon(closed);
    if (attempts.delete(closed)) return recordFailure(closed, reason);
    if (session !== closed) return;
    session = undefined;
    searchStartMs = now();
    attemptCount = 0;
    selector.recordLost(closed.address);
    const jitterMs = SEARCH_JITTER_PER_GATEWAY_MS * options.getGatewayCount();
    searchDueMs = now() + jitterMs * options.random();
    log("controlLost", { address: closed.address, reason });
  }

  function abandon({ stream, client }: Session): void {
    stream.cancel();
    client.close();
  }

  function abandonAttempts(): void {
    const abandoned = [...attempts];
    attempts.clear();
    abandoned.forEach(abandon);
  }

  function recordFailure(
    { address, askedMs }: Session,
    reason: string,
  ): void {
    selector.recordFailure(address);
    const waitedMs = Math.round(now() - askedMs);
    log("controlNotReached", { address, reason, waitedMs });
  }

  function startSession(welcomed: Session): void {
    attempts.delete(welcomed);
    abandonAttempts();
    selector.reset();
    session = welcomed;
    heartbeatDueMs = 0;
  }

  function handleMessage(from: Session, message: LeaderMessage): void {
    from.lastReceivedMs = listening.now();
    switch (message.type) {
      case "redirect":
        close(from, "redirected");
        if (!isDialable(message.address)) return;
        selector.recordLeader(message.address, { by: from.address });
        // The next check connects there, however recent the last attempt is.
        lastAttemptMs = -Infinity;
        return;
      case "welcome":
        startSession(from);
        options.onWelcome(message, {
          isNewLeader: from.address !== lastLeaderAddress,
        });
        lastLeaderAddress = from.address;
        controlAddresses = message.controlAddresses.filter(isDialable);
        log("controlConnected", {
          address: from.address,
          searchedMs: Math.round(now() - searchStartMs),
          tried: attemptCount,
        });
        return;
      case "beatAck":
        return options.onVersionConfirmed(message.sentMs, message.version);
      case "engines":
        from.hasEngineNumbers = true;
        return options.onMessage(message);
      default:
        return options.onMessage(message);
    }
  }

  function check(): void {
    listening.tick();
    if (!session) return search();
    if (listening.now() - session.lastReceivedMs > LEADER_TIMEOUT_MS) {
      return close(session, "silent");
    }
    if (now() >= heartbeatDueMs) sendHeartbeat();
  }

  function search(): void {
    for (const attempt of attempts) {
      const unresponsiveMs = listening.now() - attempt.lastReceivedMs;
      if (unresponsiveMs > getTimeoutMs(attempt)) close(attempt, "silent");
    }
    if (now() < searchDueMs) return;
    if (now() - lastAttemptMs < getNextAttemptDelayMs()) return;
    const address = selector.findNext(listPendingAddresses());
    if (address !== undefined) connect(address);
  }

  function getNextAttemptDelayMs(): number {
    if (attempts.size === 0) return 0;
    const isLikely = [...attempts].some(({ address, isAccepted }) =>
      isAccepted || selector.isNamedLeader(address)
    );
    return isLikely ? LIKELY_ATTEMPT_DELAY_MS : NEXT_ATTEMPT_DELAY_MS;
  }

  function getTimeoutMs({ address, isAccepted }: Session): number {
    if (isAccepted) return WELCOME_TIMEOUT_MS;
    const acceptTimeoutMs = INITIAL_ACCEPT_TIMEOUT_MS *
      2 ** selector.countFailures(address);
    return Math.min(MAX_ACCEPT_TIMEOUT_MS, acceptTimeoutMs);
  }

  function listPendingAddresses(): ReadonlySet<string> {
    return new Set([...attempts].map(({ address }) => address));
  }

  function sendHeartbeat(): void {
    if (!session) return;
    heartbeatDueMs = now() + HEARTBEAT_INTERVAL_MS;
    // Loads of engines that have no number yet are left out, and sent as a change
    // once the leader has numbered them.
    const loads = session.numbers.filterNumbered(options.getLoads());
    const serializedLoads = JSON.stringify(loads);
    const hasNewLoads = session.hasEngineNumbers &&
      serializedLoads !== session.sentLoads;
    if (hasNewLoads) session.sentLoads = serializedLoads;
    const version = options.getVersion();
    const isNewVersion = version !== session.sentVersion;
    session.sentVersion = version;
    const activity = options.takeActivity();
    const lost = options.takeLostEngines();
    const slowEngines = options.takeSlowEngines();
    const leaving = options.listUnreportedLeaving();
    const retries = options.takeRetryReports();
    const repeatsWanted = listNeeded(retries);
    const limits = options.takeLimitReports();
    const { isReady, cutOffServices } = options.getGateway();
    send(session, {
      type: "beat",
      sentMs: now(),
      isReady,
      ...(cutOffServices ? { cutOffServices } : {}),
      suspects: options.takeSuspects(),
      ...(hasNewLoads ? { loads } : {}),
      ...(isNewVersion ? { version } : {}),
      ...(lost.length > 0 ? { lost } : {}),
      ...(slowEngines.length > 0 ? { slowEngines } : {}),
      ...(leaving.length > 0 ? { leaving } : {}),
      ...(limits.length > 0 ? { limits } : {}),
      ...(isEmpty(activity) ? {} : { activity }),
      ...(isEmpty(repeatsWanted) ? {} : { repeatsWanted }),
      ...(isEmpty(retries) ? {} : { retries }),
      ...options.collectQuarantineUpdate(),
    });
  }

  function scheduleHeartbeat(): void {
    heartbeatTimer ??= setTimeout(sendHeartbeatNow, HEARTBEAT_BATCH_MS);
  }

  function sendHeartbeatNow(): void {
    clearTimeout(heartbeatTimer);
    heartbeatTimer = undefined;
    sendHeartbeat();
  }

  const timer = setInterval(check, CHECK_INTERVAL_MS);
  check();
  return {
    beat: sendHeartbeat,
    scheduleHeartbeat,
    requestGrants(counts, askedMs) {
      if (!session) return false;
      // The leader grants nothing for limits unknown to it: pending reports go first.
      if (heartbeatTimer !== undefined) sendHeartbeatNow();
      send(session, { type: "grantRequest", counts, askedMs });
      return true;
    },
    reconnect() {
      if (!session) return;
      const { address } = session;
      close(session, "renewed");
      selector.recordLeader(address);
    },
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      clearInterval(timer);
      clearTimeout(heartbeatTimer);
      abandonAttempts();
      if (session) close(session, "stopping");
    },
  };
}

function isEmpty(fields: Readonly<Record<string, unknown>>): boolean {
  return Object.keys(fields).length === 0;
}

// Leaders of earlier builds know only what is needed.
function listNeeded(
  reports: Readonly<Record<string, RetryReport>>,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    Object.entries(reports).flatMap(([service, { needed }]) =>
      needed === undefined ? [] : [[service, needed]]
    ),
  );
}
