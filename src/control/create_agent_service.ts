/**
 * Sessions with the agents inside the entries. Only the leader holds them.
 *
 * @module
 */

import type {
  handleBidiStreamingCall,
  ServerDuplexStream,
} from "@grpc/grpc-js";
import type { ClaimVerdict } from "../claims/index.ts";
import type { Logger } from "../logs/index.ts";
import { EMPTY_LIVE_STATE, getLiveChange } from "../membership/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type {
  EntryGrant,
  EntryReport,
  LiveState,
  Outcome,
  ResourceChange,
} from "../model/index.ts";
import { getChangesSince, type ResourceState } from "../resources/index.ts";
import type { wire } from "../wire/index.ts";
import type { FleetView } from "./create_fleet_view.ts";
import type { ClaimQuestion, Command } from "./state_machine.ts";

type AgentStream = ServerDuplexStream<wire.AgentMessage, wire.ControlMessage>;
type ControlBody = NonNullable<wire.ControlMessage["body"]>;

/** Bytes that may wait for a slow entry; then its session ends. */
const MAX_WAITING_BYTES = 16 * 1024 * 1024;

/** What the service needs of its program. */
export interface CreateAgentServiceOptions {
  readonly fleetId: string;
  readonly getClusterId: () => string;
  /** Where the leader's agent service listens; empty where it is not known. */
  readonly getLeaderAddress: () => string;
  readonly isLeader: () => boolean;
  readonly getTerm: () => number;
  readonly confirmRead: () => Promise<void>;
  /** Whether it leads and may answer without asking. */
  readonly hasLease: () => boolean;
  readonly peekClaim: (claim: ClaimQuestion) => ClaimVerdict;
  readonly propose: (command: Command) => Promise<unknown>;
  readonly getResources: () => ResourceState;
  /** Time of the claims' window, in ms. */
  readonly getLedgerNowMs: () => number;
  readonly view: FleetView;
  readonly log: Logger;
  readonly metrics: Metrics;
}

/** Sessions with entries. */
export interface AgentService {
  readonly handleSession: handleBidiStreamingCall<
    wire.AgentMessage,
    wire.ControlMessage
  >;
  publishChange(change: ResourceChange): void;
  publishLive(live: LiveState): void;
  publishGrants(grants: Readonly<Record<string, EntryGrant>>): void;
  /** Sends all entries to whoever leads now. */
  closeAll(reason: string): void;
  getSessionCount(): number;
}

interface Session {
  readonly stream: AgentStream;
  vm: string;
  incarnation: string;
  /** Revision that was last sent; -1 before the first. */
  sentRevision: number;
  sentGrant: string;
  /** The live state that the entry was last told; undefined before. */
  sentLive: LiveState | undefined;
}

/**
 * Makes the service that entries connect to.
 *
 * @param options - The replica, the fleet view and the program's identity.
 * @returns The service.
 * @throws Nothing.
 * @example
 * const agents = createAgentService(options);
 */
export function createAgentService(
  options: CreateAgentServiceOptions,
): AgentService {
  const { view, log, metrics } = options;
  const sessions = new Map<string, Session>();
  let liveVersion = 0;
  let published = EMPTY_LIVE_STATE;

  function send(session: Session, body: ControlBody): void {
    if (session.stream.writableLength > MAX_WAITING_BYTES) {
      session.stream.end();
      return;
    }
    session.stream.write({ body });
  }

  function redirect(stream: AgentStream, reason: string): void {
    const value = { leaderAddress: options.getLeaderAddress(), reason };
    stream.write({ body: { $case: "redirect", value } });
    stream.end();
  }

  function sendConfig(session: Session): void {
    const state = options.getResources();
    if (session.sentRevision === state.revision) return;
    const changes = session.sentRevision < 0
      ? undefined
      : getChangesSince(state, session.sentRevision);
    session.sentRevision = state.revision;
    send(session, {
      $case: "config",
      value: {
        revision: state.revision,
        full: changes === undefined,
        resources: JSON.stringify(
          (changes ?? listAsChanges(state)).map(hideOperator),
        ),
      },
    });
  }

  function sendLive(session: Session): void {
    const change = getLiveChange(session.sentLive, published);
    session.sentLive = published;
    send(session, {
      $case: "live",
      value: {
        term: options.getTerm(),
        version: liveVersion,
        live: JSON.stringify(change),
      },
    });
  }

  async function takeHello(
    session: Session,
    hello: wire.AgentHello,
  ): Promise<void> {
    const refusal = findHelloRefusal(hello);
    if (refusal !== undefined) return redirect(session.stream, refusal);
    try {
      await options.confirmRead();
    } catch {
      return redirect(session.stream, "not_leader");
    }
    session.vm = hello.vm;
    session.incarnation = hello.incarnation;
    const known = hello.clusterId !== "";
    const state = options.getResources();
    const usable = known && hello.revision <= state.revision;
    session.sentRevision = usable ? hello.revision : -1;
    sessions.get(hello.vm)?.stream.end();
    sessions.set(hello.vm, session);
    send(session, {
      $case: "welcome",
      value: { clusterId: options.getClusterId(), term: options.getTerm() },
    });
    sendConfig(session);
    view.take({ type: "hello", ...hello, address: hello.callerAddress });
    // Before the first news of this leader, what the entry has is better.
    if (published !== EMPTY_LIVE_STATE) sendLive(session);
    metrics.gauge("control.sessions", sessions.size);
  }

  function findHelloRefusal(hello: wire.AgentHello): string | undefined {
    if (hello.fleetId !== options.fleetId) return "other_fleet";
    const otherCluster = hello.clusterId !== "" &&
      hello.clusterId !== options.getClusterId();
    if (otherCluster) return "other_cluster";
    return options.isLeader() ? undefined : "not_leader";
  }

  function takeHeartbeat(
    session: Session,
    heartbeat: wire.AgentHeartbeat,
  ): void {
    const { vm, incarnation } = session;
    const { revision, leaving, sentMs } = heartbeat;
    const report = JSON.parse(heartbeat.report) as EntryReport;
    view.takeHeartbeat({ vm, incarnation, revision, leaving, report });
    const value = { echoSentMs: sentMs };
    send(session, { $case: "heartbeatAck", value });
  }

  async function takeClaimBegin(
    session: Session,
    claim: wire.ClaimBegin,
  ): Promise<void> {
    const { call } = claim;
    const holder = getHolder(session, call);
    const verdict = await findVerdict(claim, holder);
    if (verdict?.verdict === "granted") metrics.count("control.claims");
    const value = formatVerdict(verdict, { call, view });
    send(session, { $case: "claimResult", value });
  }

  async function findVerdict(
    claim: wire.ClaimBegin,
    holder: string,
  ): Promise<ClaimVerdict | undefined> {
    // What already stands needs no entry in the log, only a sure leader.
    const standing = options.hasLease() ? options.peekClaim(claim) : undefined;
    if (standing && standing.verdict !== "granted") return standing;
    const { clientAccount, key, requestHash } = claim;
    const nowMs = options.getLedgerNowMs();
    const name = { clientAccount, key, requestHash };
    const command: Command = { type: "claimBegin", ...name, holder, nowMs };
    try {
      return await options.propose(command) as ClaimVerdict;
    } catch {
      return undefined;
    }
  }

  async function takeClaimEnd(
    session: Session,
    claim: wire.ClaimEnd,
  ): Promise<void> {
    const { call, clientAccount, key, outcome, status, contentType } = claim;
    const end = {
      outcome: outcome as Outcome,
      status,
      contentType,
      ...(claim.body === "" ? {} : { body: claim.body }),
    };
    const holder = getHolder(session, claim.attempt);
    const command: Command = {
      type: "claimEnd",
      clientAccount,
      key,
      holder,
      end,
    };
    const recorded = await options.propose(command).catch(() => undefined);
    const verdict = recorded === undefined ? "unavailable" : "ended";
    const value = { ...EMPTY_RESULT, call, verdict };
    send(session, { $case: "claimResult", value });
  }

  function handleSession(stream: AgentStream): void {
    const session: Session = {
      stream,
      vm: "",
      incarnation: "",
      sentRevision: -1,
      sentGrant: "",
      sentLive: undefined,
    };
    stream.on("data", (message: wire.AgentMessage) => {
      void take(session, message).catch((error) => {
        log("internalError", { error });
        stream.end();
      });
    });
    stream.on("error", () => {});
    stream.on("end", () => stream.end());
    stream.on("close", () => forget(session));
  }

  async function take(
    session: Session,
    message: wire.AgentMessage,
  ): Promise<void> {
    const { body } = message;
    if (body?.$case === "hello") return await takeHello(session, body.value);
    if (sessions.get(session.vm) !== session) return;
    switch (body?.$case) {
      case "heartbeat":
        return takeHeartbeat(session, body.value);
      case "claimBegin":
        return await takeClaimBegin(session, body.value);
      case "claimEnd":
        return await takeClaimEnd(session, body.value);
    }
  }

  function forget(session: Session): void {
    if (sessions.get(session.vm) !== session) return;
    sessions.delete(session.vm);
    metrics.gauge("control.sessions", sessions.size);
  }

  return {
    handleSession,
    publishChange() {
      for (const session of sessions.values()) sendConfig(session);
    },
    publishLive(live) {
      liveVersion += 1;
      published = live;
      for (const session of sessions.values()) sendLive(session);
    },
    publishGrants(grants) {
      for (const session of sessions.values()) {
        const grant = JSON.stringify(grants[session.vm] ?? EMPTY_GRANT);
        // What has not changed is not sent again.
        if (grant === session.sentGrant) continue;
        session.sentGrant = grant;
        send(session, { $case: "grant", value: { grant } });
      }
    },
    closeAll(reason) {
      published = EMPTY_LIVE_STATE;
      for (const { stream } of sessions.values()) redirect(stream, reason);
      sessions.clear();
    },
    getSessionCount: () => sessions.size,
  };
}

// Each attempt is a holder of its own: an entry that gives up one attempt must
// not give back the claim of another that runs.
function getHolder(session: Session, attempt: number): string {
  return `${session.vm}/${session.incarnation}/${attempt}`;
}

const EMPTY_GRANT: EntryGrant = { accounts: {}, intervals: {} };

const EMPTY_RESULT = {
  call: 0,
  verdict: "",
  outcome: "",
  status: 0,
  contentType: "",
  body: "",
};

function formatVerdict(
  verdict: ClaimVerdict | undefined,
  options: { call: number; view: FleetView },
): wire.ClaimResult {
  const { call, view } = options;
  if (!verdict) return { ...EMPTY_RESULT, call, verdict: "unavailable" };
  if (verdict.verdict === "running") {
    // Whoever held it is gone: it may have run, and never runs again.
    const live = view.isHolderLive(verdict.holder);
    return { ...EMPTY_RESULT, call, verdict: live ? "running" : "unknown" };
  }
  if (verdict.verdict !== "ended") {
    return { ...EMPTY_RESULT, call, verdict: verdict.verdict };
  }
  const { end } = verdict;
  return { call, verdict: "ended", ...end, body: end.body ?? "" };
}

// Entries have no use for operators: they see that a revision passed, no more.
function hideOperator(change: ResourceChange): ResourceChange {
  if (change.kind !== "operator") return change;
  const { revision, kind, name } = change;
  return { revision, kind, name };
}

function listAsChanges(state: ResourceState): ResourceChange[] {
  return [...state.resources.values()].map((resource) => ({
    revision: resource.revision,
    kind: resource.kind,
    name: resource.name,
    resource,
  }));
}
