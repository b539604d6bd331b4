/**
 * The entry's control agent: keeps a session with the control leader.
 *
 * @module
 */

import type { ClientDuplexStream } from "@grpc/grpc-js";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type {
  EntryGrant,
  EntryReport,
  LiveChange,
  LiveState,
  LiveVersion,
  Outcome,
  ResourceChange,
} from "../model/index.ts";
import { applyLiveChange } from "../membership/index.ts";
import { createListeningClock } from "../clocks/index.ts";
import { getRetryWaitMs } from "../retry/index.ts";
import type { EntrySettings } from "../settings/index.ts";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  isDialable,
  wire,
} from "../wire/index.ts";
import type { ConfigReplica } from "./create_config_replica.ts";
import { EntryError } from "./entry_error.ts";

type Stream = ClientDuplexStream<wire.AgentMessage, wire.ControlMessage>;
type AgentBody = NonNullable<wire.AgentMessage["body"]>;

/** Options of {@link createAgent}. */
export interface CreateAgentOptions {
  readonly settings: EntrySettings;
  /** Identifies this run of the process; new at each start. */
  readonly incarnation: string;
  readonly config: ConfigReplica;
  readonly getReport: () => EntryReport;
  readonly isLeaving: () => boolean;
  readonly log: Logger;
  readonly metrics: Metrics;
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** A number in [0, 1). */
  readonly random: () => number;
}

/** Control's answer to a claim. */
export type ClaimAnswer =
  | { readonly verdict: "granted" | "running" | "unknown" | "mismatch" }
  | { readonly verdict: "unavailable" }
  | {
    readonly verdict: "ended";
    readonly outcome: Outcome;
    readonly status: number;
    readonly contentType: string;
    readonly body: string;
  };

/** Control's answer to a claim, and the number of the attempt. */
export interface ClaimAttempt {
  readonly attempt: number;
  readonly answer: ClaimAnswer;
}

/** Identifies a claim. */
export interface ClaimId {
  readonly clientAccount: string;
  readonly key: string;
}

/** Outcome of a claimed request. */
export interface ClaimCompletion extends ClaimId {
  /** The attempt that ended, as returned by `beginClaim`. */
  readonly attempt: number;
  readonly outcome: Outcome;
  readonly status: number;
  readonly contentType: string;
  /** The answer; empty if it is too large to store. */
  readonly body: string;
}

/** The entry's control agent. */
export interface Agent extends AsyncDisposable {
  /** Opens the session, announcing the address at which callers reach this entry. */
  start(callerAddress: string): void;
  getLive(): LiveState;
  /** Shares of the limits that control grants to this entry. */
  getGrant(): EntryGrant;
  isConnected(): boolean;
  /** Time, in ms, since control last sent a welcome or acknowledged a heartbeat. */
  getLastContactAgeMs(): number;
  beginClaim(claim: ClaimId & { requestHash: string }): Promise<ClaimAttempt>;
  /** Records the end of a claim, and resends it until control acknowledges it. */
  endClaim(ending: ClaimCompletion): void;
  /** Sends a heartbeat now instead of at the next interval. */
  report(): void;
  /** Resolves once control has acknowledged all claim ends, or after the timeout. */
  flush(timeoutMs: number): Promise<void>;
}

interface Session {
  readonly stream: Stream;
  readonly client: wire.AgentClient;
  readonly address: string;
  welcomed: boolean;
  /** Time of the last message from control, in ms of the listening clock. */
  lastReceivedMs: number;
}

const UNAVAILABLE: ClaimAnswer = { verdict: "unavailable" };

/** Longest delay, in ms, before the first reconnection attempt. */
const FIRST_RETRY_DELAY_MS = 100;

/**
 * Longest delay, in ms, before any reconnection attempt: claims are rejected until
 * the leader is found.
 */
const MAX_RETRY_DELAY_MS = 400;

/**
 * Consecutive redirects that are followed without a delay. Two control processes that
 * redirect to each other would otherwise be contacted in a tight loop.
 */
const MAX_IMMEDIATE_REDIRECTS = 3;

/** Time, in ms, for the answer to a claim; after that it counts as unavailable. */
const CLAIM_TIMEOUT_MS = 3_000;

/**
 * Creates the control agent.
 *
 * It keeps one session with the control leader. Any control process redirects it to
 * the leader; one that stops responding is replaced by the next.
 *
 * @param options - Settings, the configuration replica and the source of reports.
 * @returns The agent; disposing of it closes the session.
 * @throws Nothing.
 * @example
 * await using agent = createAgent(options);
 */
export function createAgent(options: CreateAgentOptions): Agent {
  const { settings, config, log, metrics, now } = options;
  const addresses = settings.controlAddresses;
  let live: LiveState = { entries: [], vms: {} };
  let liveVersion: LiveVersion = { term: 0, version: -1 };
  let grant: EntryGrant = { accounts: {}, intervals: {} };
  let session: Session | undefined;
  let nextAddress = Math.floor(Math.random() * addresses.length);
  let lastContactMs = now();
  // Sessions lost in a row since the last welcome.
  let failures = 0;
  let nextCall = 1;
  const listeningClock = createListeningClock({
    now,
    tickIntervalMs: settings.heartbeatIntervalMs,
  });
  let closed = false;
  let callerAddress = "";
  const calls = new Map<number, (answer: ClaimAnswer) => void>();
  const pendingEnds = new Map<number, ClaimCompletion>();

  function open(address: string): void {
    if (closed) return;
    const client = new wire.AgentClient(
      address,
      createClientCredentials(settings.peerTls),
      CHANNEL_OPTIONS,
    );
    const stream = client.session();
    const opened: Session = {
      stream,
      client,
      address,
      welcomed: false,
      lastReceivedMs: listeningClock.now(),
    };
    session = opened;
    let redirected: string | undefined;
    stream.on("data", (message: wire.ControlMessage) => {
      if (session !== opened) return;
      opened.lastReceivedMs = listeningClock.now();
      if (message.body?.$case === "redirect") {
        redirected = message.body.value.leaderAddress;
        closeSession(opened, { reason: message.body.value.reason, redirected });
        return;
      }
      // A control process of another build may send what this one can't handle.
      try {
        take(opened, message);
      } catch (error) {
        log("messageFailed", { from: address, error });
        closeSession(opened, { reason: "unreadable" });
      }
    });
    stream.on("error", () => closeSession(opened, { reason: "cut" }));
    stream.on("end", () => closeSession(opened, { reason: "ended" }));
    send({ $case: "hello", value: makeHello() });
  }

  function makeHello(): wire.AgentHello {
    return {
      fleetId: settings.fleetId,
      clusterId: config.getClusterId(),
      vm: settings.vm,
      place: settings.place,
      incarnation: options.incarnation,
      callerAddress,
      revision: config.getState().revision,
    };
  }

  function send(body: AgentBody): void {
    session?.stream.write({ body });
  }

  function closeSession(
    closing: Session,
    cause: { reason: string; redirected?: string },
  ): void {
    if (session !== closing) return;
    session = undefined;
    closing.stream.on("error", () => {});
    closing.stream.cancel();
    closing.client.close();
    for (const [call, resolve] of calls) {
      calls.delete(call);
      resolve(UNAVAILABLE);
    }
    if (closing.welcomed) {
      log("controlLost", { address: closing.address, reason: cause.reason });
    }
    if (closed) return;
    const { redirected = "" } = cause;
    failures += 1;
    const isRedirect = isDialable(redirected);
    const next = isRedirect ? redirected : takeNextAddress();
    const isImmediate = isRedirect && failures <= MAX_IMMEDIATE_REDIRECTS;
    setTimeout(() => open(next), isImmediate ? 0 : getRetryDelayMs());
  }

  function getRetryDelayMs(): number {
    return getRetryWaitMs(failures, {
      baseMs: FIRST_RETRY_DELAY_MS,
      maxMs: MAX_RETRY_DELAY_MS,
      random: options.random,
    });
  }

  function takeNextAddress(): string {
    nextAddress = (nextAddress + 1) % addresses.length;
    return addresses[nextAddress];
  }

  function take(from: Session, message: wire.ControlMessage): void {
    const { body } = message;
    switch (body?.$case) {
      case "welcome":
        from.welcomed = true;
        failures = 0;
        log("controlConnected", { address: from.address });
        lastContactMs = now();
        clusterId = body.value.clusterId;
        heartbeat();
        return sendPendingEnds();
      case "config":
        return applyConfig(body.value);
      case "live":
        return applyLiveState(body.value);
      case "grant":
        grant = parseGrant(body.value.grant);
        return;
      case "heartbeatAck":
        lastContactMs = now();
        return;
      case "claimResult":
        return handleClaimResult(body.value);
    }
  }

  let clusterId = config.getClusterId();

  function applyConfig(update: wire.ConfigUpdate): void {
    const result = config.applyUpdate({
      clusterId,
      revision: update.revision,
      full: update.full,
      changes: JSON.parse(update.resources) as ResourceChange[],
    });
    const { revision } = config.getState();
    if (result === "applied") {
      log("configApplied", { revision });
      metrics.gauge("config.revision", revision);
      heartbeat();
    }
    if (result === "stale" && update.revision < revision) {
      log("configStale", { offered: update.revision, revision });
      metrics.count("config.stale");
    }
    // The new session's hello names the revision held here, so control fills the gap.
    if (result === "gap" && session) closeSession(session, { reason: "gap" });
  }

  function applyLiveState(update: wire.LiveUpdate): void {
    const { term, version } = update;
    const newer = term > liveVersion.term ||
      (term === liveVersion.term && version >= liveVersion.version);
    if (!newer) return;
    liveVersion = { term, version };
    const change = JSON.parse(update.live) as LiveChange;
    live = applyLiveChange(live, change);
  }

  function handleClaimResult(result: wire.ClaimResult): void {
    const { call } = result;
    if (pendingEnds.has(call)) {
      if (result.verdict !== "unavailable") pendingEnds.delete(call);
      return;
    }
    const resolve = calls.get(call);
    calls.delete(call);
    resolve?.(result as unknown as ClaimAnswer);
  }

  function sendPendingEnds(): void {
    for (const [call, ending] of pendingEnds) {
      send({ $case: "claimEnd", value: { call, ...ending } });
    }
  }

  function heartbeat(): void {
    if (!session?.welcomed) return;
    const value = {
      revision: config.getState().revision,
      sentMs: now(),
      leaving: options.isLeaving(),
      report: JSON.stringify(options.getReport()),
    };
    send({ $case: "heartbeat", value });
  }

  function tick(): void {
    listeningClock.tick();
    const silentMs = listeningClock.now() - (session?.lastReceivedMs ?? 0);
    if (session && silentMs > settings.controlSilenceMs) {
      closeSession(session, { reason: "silent" });
    }
    heartbeat();
    if (pendingEnds.size > 0 && session?.welcomed) sendPendingEnds();
  }

  const timer = setInterval(tick, settings.heartbeatIntervalMs);
  return {
    start(address) {
      callerAddress = address;
      open(addresses[nextAddress]);
    },
    getLive: () => live,
    getGrant: () => grant,
    isConnected: () => session?.welcomed ?? false,
    getLastContactAgeMs: () => now() - lastContactMs,
    async beginClaim(claim) {
      const attempt = nextCall++;
      if (!session?.welcomed) return { attempt, answer: UNAVAILABLE };
      const answer = await new Promise<ClaimAnswer>((resolve) => {
        const timeout = setTimeout(() => {
          calls.delete(attempt);
          resolve(UNAVAILABLE);
        }, CLAIM_TIMEOUT_MS);
        calls.set(attempt, (result) => {
          clearTimeout(timeout);
          resolve(result);
        });
        send({ $case: "claimBegin", value: { call: attempt, ...claim } });
      });
      return { attempt, answer };
    },
    endClaim(ending) {
      const call = nextCall++;
      pendingEnds.set(call, ending);
      if (session?.welcomed) {
        send({ $case: "claimEnd", value: { call, ...ending } });
      }
    },
    report: heartbeat,
    async flush(timeoutMs) {
      const untilMs = now() + timeoutMs;
      while (pendingEnds.size > 0 && now() < untilMs) {
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
    },
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      closed = true;
      clearInterval(timer);
      const last = session;
      session = undefined;
      last?.stream.on("error", () => {});
      last?.stream.cancel();
      last?.client.close();
      for (const resolve of calls.values()) resolve(UNAVAILABLE);
      calls.clear();
    },
  };
}

// The shares are used later, in a timer.
function parseGrant(text: string): EntryGrant {
  const { accounts, intervals } = JSON.parse(text) as Partial<EntryGrant>;
  if (!accounts || !intervals) throw new EntryError("grant without shares");
  return { accounts, intervals };
}
