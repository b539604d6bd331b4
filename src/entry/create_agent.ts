/**
 * The agent inside the entry: its session with the control leader.
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
import { takeLiveChange } from "../membership/index.ts";
import { createListeningClock } from "../clocks/index.ts";
import { getRetryWaitMs } from "../retry/index.ts";
import type { EntrySettings } from "../settings/index.ts";
import {
  CHANNEL_OPTIONS,
  createClientCredentials,
  wire,
} from "../wire/index.ts";
import type { ConfigReplica } from "./create_config_replica.ts";

type Stream = ClientDuplexStream<wire.AgentMessage, wire.ControlMessage>;
type AgentBody = NonNullable<wire.AgentMessage["body"]>;

/** What the agent needs of its program. */
export interface CreateAgentOptions {
  readonly settings: EntrySettings;
  /** New at each start of the process. */
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

/** What became of a claim. */
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

/** What became of a claim, and the number of the attempt. */
export interface BegunClaim {
  readonly attempt: number;
  readonly answer: ClaimAnswer;
}

/** Names a claim. */
export interface ClaimName {
  readonly clientAccount: string;
  readonly key: string;
}

/** How a claimed request ended. */
export interface ClaimEnding extends ClaimName {
  /** The attempt that ended, as its beginning gave it. */
  readonly attempt: number;
  readonly outcome: Outcome;
  readonly status: number;
  readonly contentType: string;
  /** The answer; empty where it is too large to keep. */
  readonly body: string;
}

/** The agent inside the entry. */
export interface Agent extends AsyncDisposable {
  /** Opens the session; callers reach this entry at the address. */
  start(callerAddress: string): void;
  getLive(): LiveState;
  /** What control grants to this entry. */
  getGrant(): EntryGrant;
  isConnected(): boolean;
  /** Time, in ms, since control was last heard. */
  getSilenceMs(): number;
  beginClaim(claim: ClaimName & { requestHash: string }): Promise<BegunClaim>;
  /** Records an end; kept and sent again until control has it. */
  endClaim(ending: ClaimEnding): void;
  /** Tells control at once, without waiting for the next heartbeat. */
  report(): void;
  /** Resolves once control has all ends, or the time is over. */
  settle(timeoutMs: number): Promise<void>;
}

interface Session {
  readonly stream: Stream;
  readonly client: wire.AgentClient;
  readonly address: string;
  welcomed: boolean;
  /** When control was heard last, in ms for which it could be. */
  heardMs: number;
}

const UNAVAILABLE: ClaimAnswer = { verdict: "unavailable" };

/** Longest wait, in ms, before the next control process is asked at first. */
const FIRST_RETRY_MS = 100;

/**
 * Longest wait, in ms, before the next control process is asked: claims are turned
 * away until one is found that leads.
 */
const MAX_RETRY_MS = 400;

/**
 * Control processes in a row that may name another one at once: two that name each
 * other must not be asked without a pause.
 */
const MAX_QUICK_REDIRECTS = 3;

/** Ms for the answer to a claim; then it counts as unavailable. */
const CLAIM_TIMEOUT_MS = 3_000;

/**
 * Makes the agent.
 *
 * It keeps one session with the control leader: asked at any control process,
 * it is told who leads. A control process that is silent is left for another.
 *
 * @param options - Settings, the configuration's copy, what to report.
 * @returns The agent; disposing of it ends the session.
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
  let lastHeardMs = now();
  // Control processes in a row that did not take this entry in.
  let failures = 0;
  let nextCall = 1;
  const listening = createListeningClock({
    now,
    lookIntervalMs: settings.heartbeatIntervalMs,
  });
  let closed = false;
  let callerAddress = "";
  const calls = new Map<number, (answer: ClaimAnswer) => void>();
  const endings = new Map<number, ClaimEnding>();

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
      heardMs: listening.now(),
    };
    session = opened;
    let redirected: string | undefined;
    stream.on("data", (message: wire.ControlMessage) => {
      if (session !== opened) return;
      opened.heardMs = listening.now();
      if (message.body?.$case === "redirect") {
        redirected = message.body.value.leaderAddress;
        lose(opened, { reason: message.body.value.reason, redirected });
        return;
      }
      take(opened, message);
    });
    stream.on("error", () => lose(opened, { reason: "cut" }));
    stream.on("end", () => lose(opened, { reason: "ended" }));
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

  function lose(
    lost: Session,
    cause: { reason: string; redirected?: string },
  ): void {
    if (session !== lost) return;
    session = undefined;
    lost.stream.on("error", () => {});
    lost.stream.cancel();
    lost.client.close();
    for (const [call, resolve] of calls) {
      calls.delete(call);
      resolve(UNAVAILABLE);
    }
    if (lost.welcomed) {
      log("controlLost", { address: lost.address, reason: cause.reason });
    }
    if (closed) return;
    const { redirected = "" } = cause;
    failures += 1;
    const isNamed = redirected !== "";
    const next = isNamed ? redirected : takeNextAddress();
    const isQuick = isNamed && failures <= MAX_QUICK_REDIRECTS;
    setTimeout(() => open(next), isQuick ? 0 : getWaitMs());
  }

  function getWaitMs(): number {
    return getRetryWaitMs(failures, {
      firstMs: FIRST_RETRY_MS,
      maxMs: MAX_RETRY_MS,
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
        lastHeardMs = now();
        clusterId = body.value.clusterId;
        heartbeat();
        return sendEndings();
      case "config":
        return takeConfig(body.value);
      case "live":
        return takeLive(body.value);
      case "grant":
        grant = JSON.parse(body.value.grant) as EntryGrant;
        return;
      case "heartbeatAck":
        lastHeardMs = now();
        return;
      case "claimResult":
        return takeClaimResult(body.value);
    }
  }

  let clusterId = config.getClusterId();

  function takeConfig(update: wire.ConfigUpdate): void {
    const taken = config.take({
      clusterId,
      revision: update.revision,
      full: update.full,
      changes: JSON.parse(update.resources) as ResourceChange[],
    });
    const { revision } = config.getState();
    if (taken === "applied") {
      log("configApplied", { revision });
      metrics.gauge("config.revision", revision);
      heartbeat();
    }
    if (taken === "stale" && update.revision < revision) {
      log("configStale", { offered: update.revision, revision });
      metrics.count("config.stale");
    }
    // The session is opened anew and names what is here.
    if (taken === "gap" && session) lose(session, { reason: "gap" });
  }

  function takeLive(update: wire.LiveUpdate): void {
    const { term, version } = update;
    const newer = term > liveVersion.term ||
      (term === liveVersion.term && version >= liveVersion.version);
    if (!newer) return;
    liveVersion = { term, version };
    const change = JSON.parse(update.live) as LiveChange;
    live = takeLiveChange(live, change);
  }

  function takeClaimResult(result: wire.ClaimResult): void {
    const { call } = result;
    if (endings.has(call)) {
      if (result.verdict !== "unavailable") endings.delete(call);
      return;
    }
    const resolve = calls.get(call);
    calls.delete(call);
    resolve?.(result as unknown as ClaimAnswer);
  }

  function sendEndings(): void {
    for (const [call, ending] of endings) {
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
    listening.look();
    const silentMs = listening.now() - (session?.heardMs ?? 0);
    if (session && silentMs > settings.controlSilenceMs) {
      lose(session, { reason: "silent" });
    }
    heartbeat();
    if (endings.size > 0 && session?.welcomed) sendEndings();
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
    getSilenceMs: () => now() - lastHeardMs,
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
      endings.set(call, ending);
      if (session?.welcomed) {
        send({ $case: "claimEnd", value: { call, ...ending } });
      }
    },
    report: heartbeat,
    async settle(timeoutMs) {
      const untilMs = now() + timeoutMs;
      while (endings.size > 0 && now() < untilMs) {
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
