/**
 * The control plane of a fleet whose upstreams and gateways register themselves: a
 * quorum that stores the accepted configuration, and a leader that publishes it to the
 * gateways.
 *
 * @module
 */

import { createElapsedClock, createListeningClock } from "../clocks/index.ts";
import type { EngineNotice } from "../engines/index.ts";
import {
  createJoinHandler,
  createReplicaHost,
  keepJoined,
} from "../control/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { Member, QuorumState } from "../quorum/index.ts";
import type { RetryLimits } from "../retry/index.ts";
import { createClusterFormation } from "./create_cluster_formation.ts";
import { createConfigHistory } from "./create_config_history.ts";
import { createEngineRecorder } from "./create_engine_recorder.ts";
import { createEngineRegistry } from "./create_engine_registry.ts";
import {
  createFleetStateMachine,
  type FleetCommand,
} from "./create_fleet_state_machine.ts";
import { createGatewayRecorder } from "./create_gateway_recorder.ts";
import { createGatewaySessions } from "./create_gateway_sessions.ts";
import {
  createLayerController,
  type SendLayerOrder,
} from "./create_layer_controller.ts";
import { createLeaderClient } from "./create_leader_client.ts";
import { createLeaderCallHandler } from "./create_leader_call_handler.ts";
import { createLeaderLoop } from "./create_leader_loop.ts";
import { createLimitCoordinator } from "./create_limit_coordinator.ts";
import { createMembershipManager } from "./create_membership_manager.ts";
import { createPaceMonitor, type ReadPace } from "./create_pace_monitor.ts";
import { createQuarantineCoordinator } from "./create_quarantine_coordinator.ts";
import { createRetryLender } from "./create_retry_lender.ts";
import type { DecodeConfig, FleetCall, FleetReply } from "./messages.ts";
import { type FleetSeed, openFleetStorage } from "./open_fleet_storage.ts";
import type { PeerListener } from "./open_peer_listener.ts";
import { handOverLeadership } from "./hand_over_leadership.ts";
import {
  MEMBERS_INTERVAL_MS,
  QUORUM_TIMING,
  VOTER_TIMEOUT_MS,
} from "./quorum_timing.ts";
import { releaseVote } from "./release_vote.ts";
import { startFleetServer } from "./start_fleet_server.ts";

/** Settings of a control process. */
export interface FleetControlSettings {
  /** Name of the fleet; processes of other fleets are rejected. */
  readonly fleetId: string;
  /** Address for operators and upstreams; also this process's name in the quorum. */
  readonly callerAddress: string;
  /** Address for the other processes of the system. */
  readonly peerAddress: string;
  /**
   * Folder that persists across restarts; absent if there is no disk: the process then
   * follows, forwards calls and never votes.
   */
  readonly dataFolder?: string;
  /** Whether all initial voters form a new cluster together. */
  readonly isFirstStart: boolean;
  /** Number of voters that tolerates the expected failures. */
  readonly voters: number;
  /** Ms between two heartbeats of an upstream. */
  readonly upstreamHeartbeatIntervalMs: number;
  /** Retry budget of all gateways together. */
  readonly retryBudget: RetryLimits;
  /**
   * Monotonic time, in ms, at which this process started: no leader can have contacted
   * it before. Defaults to the time of the call.
   */
  readonly processStartedMs?: number;
}

/** Options of {@link startFleetControl}. */
export interface StartFleetControlOptions {
  /** The listener at the process's address; it must outlive the process's storage. */
  readonly listener: PeerListener;
  /** Control processes to contact first; read again whenever they are needed. */
  readonly getSeeds: () => readonly FleetSeed[];
  readonly decodeConfig: DecodeConfig;
  readonly sendLayerOrder: SendLayerOrder;
  readonly readPace: ReadPace;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly onFatal: (error: unknown) => void;
  /**
   * Seeds with which this process forms a cluster if it has none; by default the seeds
   * of a first start.
   */
  readonly formingSeeds?: readonly FleetSeed[];
  /**
   * Called with the seeds if they have turned out to have no cluster, after a first
   * start that was interrupted. This process can't form one while it runs.
   */
  readonly onFormable?: (seeds: readonly FleetSeed[]) => void;
}

/** A running control process. */
export interface FleetControl {
  /** Answers a call if this process leads; forwards it to the leader otherwise. */
  call(call: FleetCall): Promise<FleetReply>;
  /** Address of the leader for upstreams and operators; empty if unknown. */
  getLeaderCallerAddress(): string;
  getState(): QuorumState;
  stop(): Promise<void>;
}

/** Ms since the leader's last message for which gateways are redirected to it. */
const LEADER_CONTACT_MAX_AGE_MS = 1.5 * QUORUM_TIMING.heartbeatIntervalMs;

/** Log entries between two snapshots. */
const SNAPSHOT_ENTRIES = 200;

/** Ms between two rounds of the leader's periodic work. */
const TICK_INTERVAL_MS = 250;

/**
 * Ms for which a new leader accepts no configuration while there are fewer voters than
 * the tolerated failures require. Afterwards it accepts them anyway: there may be no
 * more processes with a disk.
 */
const MAX_VOTERS_WAIT_MS = 10_000;

/** Heartbeat timeout of an upstream, in heartbeat intervals. */
const HEARTBEAT_TIMEOUT_INTERVALS = 2.6;

/**
 * Heartbeat intervals without a heartbeat of any upstream after which the heartbeat
 * clock pauses. At least one interval shorter than the heartbeat timeout, because the
 * last heartbeats of all upstreams are spread over an interval.
 */
const CLOCK_PAUSE_INTERVALS = 1.5;

/** Ms within which all gateways connect to a new leader that knows none of them. */
const GATEWAYS_CONNECT_MS = 2_000;

/**
 * Starts a control process.
 *
 * @param settings - The settings of the process.
 * @param options - The seeds, logs, metrics, and how layer orders are sent.
 * @returns The running process.
 * @throws {StorageOwnerError | StorageDamageError} When the data folder is
 * rejected.
 * @example
 * const control = await startFleetControl(settings, options);
 */
export async function startFleetControl(
  settings: FleetControlSettings,
  options: StartFleetControlOptions,
): Promise<FleetControl> {
  const { log, metrics } = options;
  // Failure timeouts use the steady clock, which excludes suspensions of the machine;
  // only the lease has to expire during a suspension.
  const now = () => performance.now();
  const { getLastWakeMs } = createElapsedClock({
    steadyNow: now,
    dayNow: Date.now,
  });
  const firstSeeds = settings.isFirstStart ? options.getSeeds() : undefined;
  const { formingSeeds = firstSeeds } = options;
  const storage = await openFleetStorage({ ...settings, formingSeeds, log });
  const { replicaId, clusterId: firstClusterId } = storage.identity;
  let leadingSinceMs = Infinity;
  // Number of times that this process became leader, and the last of them in which it
  // has loaded what earlier leaders had recorded.
  let leadershipCount = 0;
  let loadedLeadership = -1;
  // Resolves once the recorded state is loaded.
  let recordedStateLoaded = Promise.resolve();
  const hasLedFor = (spanMs: number) => now() - leadingSinceMs >= spanMs;
  // Heartbeats are rejected without a lease, so that time does not count as silence.
  const listening = createListeningClock({
    now,
    tickIntervalMs: TICK_INTERVAL_MS,
    isListening: false,
  });
  const heartbeatTimeoutMs = settings.upstreamHeartbeatIntervalMs *
    HEARTBEAT_TIMEOUT_INTERVALS;

  const history = createConfigHistory(options);
  const machine = createFleetStateMachine({ onChange: handleCommand });
  // Addresses that replicas report in their messages: a replica that starts without
  // state knows no members; it responds to, and joins, those that contact it.
  const senderAddresses = new Map<string, string>();
  const { replica, transport } = createReplicaHost({
    storage,
    machine,
    timing: QUORUM_TIMING,
    snapshotEntries: SNAPSHOT_ENTRIES,
    getAddress: (id, { members }) =>
      members.find((one) => one.id === id)?.address ?? senderAddresses.get(id),
    onSender: (id, address) => void senderAddresses.set(id, address),
    onLeadershipGained,
    onLeadershipLost,
    onFatal: options.onFatal,
    processStartedMs: settings.processStartedMs,
    getLastWakeMs,
    log,
    metrics,
    now,
  });
  // Decoded on demand only: a follower does not need it.
  const getServices = () => {
    const accepted = machine.getAcceptedConfig();
    return accepted ? history.read(accepted.packed).services : [];
  };
  const isLeader = () => replica.getState().role === "leader";
  const isRecordedStateLoaded = () => loadedLeadership === leadershipCount;
  const registry = createEngineRegistry({
    silenceMs: heartbeatTimeoutMs,
    quietMs: settings.upstreamHeartbeatIntervalMs * CLOCK_PAUSE_INTERVALS,
    now: listening.now,
    getLeave: machine.getLeave,
    // Before the first configuration any service name is accepted.
    isService(service) {
      const services = getServices();
      return services.length === 0 ||
        services.some(({ name }) => name === service);
    },
    publish: (change) => sessions.publishEngines(change),
    onNextHeartbeat: (engineId) => quarantine.handleHeartbeat(engineId),
    log,
  });
  const propose = (command: FleetCommand) =>
    replica.propose(JSON.stringify(command));
  const retryLender = createRetryLender({
    ...settings.retryBudget,
    getCeilings: machine.getRetryCeilings,
    propose,
    hasLease: () => replica.hasLease(),
    now,
    log,
  });
  const quarantine = createQuarantineCoordinator({
    getCases: machine.getCases,
    propose,
    publish: (message) => sessions.publish(message),
    now,
    log,
  });
  const limits = createLimitCoordinator({
    publish: (limit) => sessions.publish({ type: "limits", limits: [limit] }),
    // Successive leaders start at different times, so their versions differ.
    firstVersion: Date.now(),
    now,
    log,
  });
  const sessions = createGatewaySessions({
    isLeader,
    hasLease: () => replica.hasLease(),
    // Waits for the recorded state: a joining gateway receives the upstreams at once and
    // then accepts callers. One that joined some ms after a leader change received an
    // empty list, and rejected its callers.
    async confirmRead() {
      await replica.confirmRead();
      await recordedStateLoaded;
    },
    getLeaderAddress: () => hasRecentLeader() ? getLeader()?.address ?? "" : "",
    getControlAddresses: () =>
      replica.getState().members.map((member) => member.address),
    getAcceptedConfig: machine.getAcceptedConfig,
    history,
    getEngines: registry.getRecords,
    getDepartures: registry.getDepartures,
    knowsAllEngines: registry.knowsAll,
    knowsAllGateways: () => hasLedFor(GATEWAYS_CONNECT_MS),
    retryLender,
    quarantine,
    limits,
    onSuspectedEngines: registry.addSuspicions,
    onSlowEngines: (engineIds) => paceMonitor.recordSlow(engineIds),
    onLeavingEngines: (engineIds) => void calls.recordLeaves(engineIds),
    now,
    listeningNow: listening.now,
    log,
    metrics,
  });
  // The leader's orders and polls are not requests, so the absence of a limit in their
  // responses doesn't lift one; a leave or a named limit counts.
  function handleNotice(engineId: string, notice: EngineNotice): void {
    const { isLeaving, limitPerS = Infinity } = notice;
    if (isLeaving) void calls.recordLeaves([engineId]);
    if (limitPerS < Infinity) limits.take({ engineId, limitPerS });
  }

  const paceMonitor = createPaceMonitor({
    getEngines: () =>
      registry.getRecords().filter((record) => record.layers !== undefined),
    readPace: options.readPace,
    onPace: registry.setPace,
    onNotice: handleNotice,
    now,
  });
  const layerManager = createLayerController({
    getServices,
    getEngines: registry.getRecords,
    sendOrder: options.sendLayerOrder,
    onNotice: handleNotice,
    hasLeft: (engineId) => machine.getLeave(engineId) !== undefined,
    hasEnded: (engineId) =>
      [...machine.getCases().values()].some((one) =>
        one.engineIds.includes(engineId)
      ),
    now,
    log,
  });
  const engineRecorder = createEngineRecorder({
    getKnown: registry.getRecords,
    getRecorded: machine.getEngines,
    propose,
    log,
  });
  const gatewayRecorder = createGatewayRecorder({
    getPublished: sessions.getPublishedGateways,
    getRecorded: machine.getGateways,
    propose,
    log,
  });
  const members = createMembershipManager({
    replica,
    voters: settings.voters,
    responseTimeoutMs: VOTER_TIMEOUT_MS,
    tickIntervalMs: MEMBERS_INTERVAL_MS,
    now,
    log,
    metrics,
  });
  const countVoters = () =>
    replica.getState().members.filter(({ role }) => role === "voter").length;
  const hasEnoughVoters = () =>
    hasLedFor(MAX_VOTERS_WAIT_MS) || countVoters() >= settings.voters ||
    members.hasHadEnoughVoters();
  const calls = createLeaderCallHandler({
    hasEnoughVoters,
    hasLease: () => replica.hasLease(),
    members,
    machine,
    registry,
    quarantine,
    propose,
    confirmRead: () => replica.confirmRead(),
    history,
    log,
  });
  const leaderLoop = createLeaderLoop({
    // Until the recorded state is loaded, all of it would be recorded as departed.
    isLeading: () =>
      isLeader() && replica.hasLease() && isRecordedStateLoaded(),
    listening,
    isFirstStart: settings.isFirstStart,
    sessions,
    registry,
    paceMonitor,
    quarantine,
    retryLender,
    recorders: [engineRecorder, gatewayRecorder],
    layerManager,
    log,
  });
  const leaderClient = createLeaderClient();

  function handleCommand(command: FleetCommand): void {
    if (
      command.type === "engines" || command.type === "gateways" ||
      command.type === "retryCeilings"
    ) return;
    if (
      command.type === "crashes" || command.type === "crashesRefuted" ||
      command.type === "casesCleared"
    ) {
      return quarantine.handleChange({ isLeader: isLeader() });
    }
    if (command.type === "leave") {
      // A follower keeps no registry; it reads the state machine when it is elected.
      if (isLeader()) registry.applyLeave(command.engineId, command.kind);
      return;
    }
    history.add(command);
    log("configAccepted", { version: command.version });
    if (isLeader()) sessions.publishConfig(command.version);
  }

  function onLeadershipGained(): void {
    leadershipCount += 1;
    leadingSinceMs = now();
    members.reset();
    leaderLoop.reset();
    registry.reset();
    layerManager.reset();
    limits.reset();
    retryLender.endTerm();
    recordedStateLoaded = loadRecordedState();
  }

  function onLeadershipLost(): void {
    leadingSinceMs = Infinity;
    retryLender.endTerm();
    sessions.closeAll();
  }

  // A leader has applied all committed entries only once an entry of its own term is
  // committed.
  async function loadRecordedState(): Promise<void> {
    const leadership = leadershipCount;
    try {
      await replica.confirmRead();
    } catch {
      // No longer the leader: the next one adds the recorded state.
      return;
    }
    const accepted = machine.getAcceptedConfig();
    if (accepted) history.add(accepted);
    const newestRuns = machine.getNewestIncarnations();
    registry.addRecorded(machine.getEngines().values(), { newestRuns });
    sessions.awaitGateways(machine.getGateways().values());
    if (leadership === leadershipCount) retryLender.beginTerm();
    loadedLeadership = leadership;
  }

  function getLeader(): Member | undefined {
    const { leaderId, members } = replica.getState();
    return members.find((member) => member.id === leaderId);
  }

  // Redirecting gateways to a leader that has just failed would be useless.
  function hasRecentLeader(): boolean {
    const { leaderContactMs } = replica.getState();
    return now() - leaderContactMs < LEADER_CONTACT_MAX_AGE_MS;
  }

  function call(request: FleetCall): Promise<FleetReply> {
    if (isLeader()) return calls.handle(request);
    const leader = getLeader();
    if (!leader || leader.id === replicaId) {
      return Promise.resolve({ type: "unavailable", reason: "no leader" });
    }
    return leaderClient.call(leader.address, request);
  }

  async function handleCall(json: string): Promise<FleetReply> {
    // A call is forwarded only once: two processes that take each other for the leader
    // must not forward it back and forth.
    if (isLeader()) return await calls.handle(JSON.parse(json) as FleetCall);
    return { type: "unavailable", reason: "not the leader" };
  }

  const formation = createClusterFormation({
    self: settings,
    hasDisk: settings.dataFolder !== undefined,
    storage,
    replica,
    startedEmpty: firstClusterId === "" || options.formingSeeds !== undefined,
    toleratedLosses: Math.floor(settings.voters / 2),
    getSeeds: options.getSeeds,
  });
  const handleJoin = createJoinHandler({
    fleetId: settings.fleetId,
    replica,
    getIdentity: () => storage.identity,
    getLeaderAddress: () => getLeader()?.address ?? "",
    isKnownVm: () => true,
    getFormation: formation.getFormation,
  });
  const server = startFleetServer({
    listener: options.listener,
    handleDeliver: transport.handleDeliver,
    handleSession: sessions.handleSession,
    handleJoin,
    handleCall,
    log,
  });

  const joining = new AbortController();
  const getPeerAddresses = () =>
    [
      ...options.getSeeds().map((seed) => seed.peerAddress),
      ...replica.getState().members.map(({ address }) => address),
      ...senderAddresses.values(),
    ].filter((address) => address !== settings.peerAddress);
  void keepJoined({
    fleetId: settings.fleetId,
    vm: settings.callerAddress,
    address: settings.peerAddress,
    isObserver: settings.dataFolder === undefined,
    storage,
    signal: joining.signal,
    getPeerAddresses,
    getSilenceMs: () =>
      isLeader() ? 0 : now() - replica.getState().leaderContactMs,
    onRejected(answers) {
      const formable = formation.findFormableSeeds(answers);
      if (formable && !joining.signal.aborted) options.onFormable?.(formable);
    },
    onOutside: () => log("leaderSilent"),
    onWriteError: (error) => log("diskFull", { error }),
    onJoined: () => log("clusterJoined", { ...storage.identity }),
  });

  const timers = [
    setInterval(leaderLoop.tick, TICK_INTERVAL_MS),
    // Apart from the leader's loop, which waits for the heartbeats of upstreams.
    setInterval(() => void members.tick(), MEMBERS_INTERVAL_MS),
  ];
  log("started", { vm: settings.callerAddress, replicaId });

  async function stop(): Promise<void> {
    log("stopping", { vm: settings.callerAddress });
    joining.abort();
    await handOverLeadership(replica);
    await releaseVote({ replica, call, now });
    timers.forEach(clearInterval);
    sessions.closeAll();
    await leaderClient[Symbol.asyncDispose]();
    await transport[Symbol.asyncDispose]();
    server[Symbol.dispose]();
    await replica[Symbol.asyncDispose]();
  }

  return {
    call,
    getLeaderCallerAddress: () => getLeader()?.vm ?? "",
    getState: () => replica.getState(),
    stop,
  };
}
