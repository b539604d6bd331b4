/**
 * The control side of a fleet whose upstreams and gateways register
 * themselves: a quorum that holds the accepted configuration, and a leader
 * that tells the gateways.
 *
 * @module
 */

import { createElapsedClock, createListeningClock } from "../clocks/index.ts";
import type { EngineNotice } from "../engines/index.ts";
import {
  createJoinHandler,
  createReplicaHost,
  joinCluster,
} from "../control/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import type { Member, QuorumState, QuorumTiming } from "../quorum/index.ts";
import { createConfigHistory } from "./create_config_history.ts";
import { createEngineRecorder } from "./create_engine_recorder.ts";
import { createEngineRegistry } from "./create_engine_registry.ts";
import {
  createFleetMachine,
  type FleetCommand,
} from "./create_fleet_machine.ts";
import { createGatewayRecorder } from "./create_gateway_recorder.ts";
import { createGatewaySessions } from "./create_gateway_sessions.ts";
import {
  createLayerKeeper,
  type SendLayerOrder,
} from "./create_layer_keeper.ts";
import { createLeaderCaller } from "./create_leader_caller.ts";
import { createLeaderDesk } from "./create_leader_desk.ts";
import {
  createLeaderRounds,
  VOTER_SILENCE_MS,
} from "./create_leader_rounds.ts";
import { createLimitDesk } from "./create_limit_desk.ts";
import { createMemberKeeper } from "./create_member_keeper.ts";
import { createPaceWatch, type ReadPace } from "./create_pace_watch.ts";
import { createQuarantineDesk } from "./create_quarantine_desk.ts";
import {
  createRepeatLender,
  type RepeatBounds,
} from "./create_repeat_lender.ts";
import type { DecodeConfig, FleetCall, FleetReply } from "./messages.ts";
import { type FleetSeed, openFleetStorage } from "./open_fleet_storage.ts";
import { handOver } from "./hand_over.ts";
import { startFleetServer } from "./start_fleet_server.ts";

/** Settings of a control process. */
export interface FleetControlSettings {
  /** Names the fleet; other fleets are refused. */
  readonly fleetId: string;
  /** Where operators and upstreams reach this process; names it in the quorum. */
  readonly callerAddress: string;
  /** Where the other processes of the system reach it. */
  readonly peerAddress: string;
  /**
   * Folder that outlives the process; absent where there is no disk: it then
   * follows, passes calls on and never votes.
   */
  readonly dataFolder?: string;
  /** Whether the cluster is formed now, by all first voters together. */
  readonly isFirstStart: boolean;
  /** Voters that losses leave enough of. */
  readonly voters: number;
  /** Ms between two beats of an upstream. */
  readonly beatIntervalMs: number;
  /** Bound on the repeats of all gateways together. */
  readonly repeats: RepeatBounds;
  /**
   * Monotonic time, in ms, at which this process started: no leader reached it
   * before. That of the call by default.
   */
  readonly processStartedMs?: number;
}

/** Options of {@link startFleetControl}. */
export interface StartFleetControlOptions {
  /** Control processes to begin with; read anew whenever they are needed. */
  readonly getSeeds: () => readonly FleetSeed[];
  readonly decodeConfig: DecodeConfig;
  readonly sendLayerOrder: SendLayerOrder;
  readonly readPace: ReadPace;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly onFatal: (error: unknown) => void;
}

/** A running control process. */
export interface FleetControl {
  /** Answers a call itself where it leads, and passes it on elsewhere. */
  call(call: FleetCall): Promise<FleetReply>;
  /** Where upstreams and operators reach the leader; empty if not known. */
  getLeaderCallerAddress(): string;
  getState(): QuorumState;
  stop(): Promise<void>;
}

/** Times of the quorum, in ms: a leader's loss is felt for about a second. */
const QUORUM_TIMING: QuorumTiming = {
  electionTimeoutMs: 500,
  electionJitterMs: 250,
  heartbeatIntervalMs: 120,
  leaseMs: 400,
};

/** Ms since the last word of a leader for which gateways are sent to it. */
const LEADER_FRESH_MS = 1.5 * QUORUM_TIMING.heartbeatIntervalMs;

/** Entries between two snapshots. */
const SNAPSHOT_ENTRIES = 200;

/** Ms between two looks at leases, gaps and members. */
const TICK_INTERVAL_MS = 250;

/**
 * Ms for which a new leader takes no configuration while there are fewer
 * voters than the losses to be borne ask for. Afterwards it takes them all the
 * same: there may be no more disks.
 */
const VOTERS_WAIT_MS = 10_000;

/** Beats that an upstream may miss before it counts as lost. */
const BEATS_OF_SILENCE = 2.6;

/**
 * Intervals between beats without a beat of any upstream: less than the silence of one
 * by an interval, over which the last beats of all are spread.
 */
const BEATS_OF_QUIET = 1.5;

/** Ms in which gateways find a new leader that knows of none yet. */
const GATEWAYS_SETTLE_MS = 2_000;

/**
 * Starts a control process.
 *
 * @param settings - Its settings.
 * @param options - The seeds, logs, metrics, how orders are sent.
 * @returns The running process.
 * @throws {StorageOwnerError | StorageDamageError} When the data folder is
 * refused.
 * @example
 * const control = await startFleetControl(settings, options);
 */
export async function startFleetControl(
  settings: FleetControlSettings,
  options: StartFleetControlOptions,
): Promise<FleetControl> {
  const { log, metrics } = options;
  // What waits for others' silence counts by the steady clock, on which a suspended
  // machine waits longer; only the lease ends with a suspension.
  const now = () => performance.now();
  const { getWokeMs } = createElapsedClock({
    steadyNow: now,
    dayNow: Date.now,
  });
  const seeds = options.getSeeds();
  const storage = await openFleetStorage({ ...settings, seeds, log });
  const { replicaId } = storage.identity;
  let leadingSinceMs = Infinity;
  // Times that this process came to lead, and the last of them in which it knew what
  // earlier leaders had recorded.
  let leadCount = 0;
  let informedLead = -1;
  // Resolves once it knows that.
  let addingRecorded = Promise.resolve();
  const leadsFor = (spanMs: number) => now() - leadingSinceMs >= spanMs;
  // Without a lease no beat is taken, so silence says nothing then.
  const listening = createListeningClock({
    now,
    lookIntervalMs: TICK_INTERVAL_MS,
    isListening: false,
  });
  let listensSinceMs = 0;
  const listensFor = (spanMs: number) =>
    listening.now() - listensSinceMs >= spanMs;
  const silenceMs = settings.beatIntervalMs * BEATS_OF_SILENCE;

  const history = createConfigHistory(options);
  const machine = createFleetMachine({ onChange: takeChange });
  // Where replicas say that they are reached: one that starts without state
  // knows no members, and answers and joins those who write to it.
  const senders = new Map<string, string>();
  const { replica, transport } = createReplicaHost({
    storage,
    machine,
    timing: QUORUM_TIMING,
    snapshotEntries: SNAPSHOT_ENTRIES,
    getAddress: (id, { members }) =>
      members.find((one) => one.id === id)?.address ?? senders.get(id),
    onSender: (id, address) => void senders.set(id, address),
    onLead,
    onLeadLost,
    onFatal: options.onFatal,
    quietSinceMs: settings.processStartedMs,
    getWokeMs,
    log,
    metrics,
    now,
  });
  // Decoded only where it is asked for: who follows needs none.
  const getServices = () => {
    const accepted = machine.getAccepted();
    return accepted ? history.read(accepted.packed).services : [];
  };
  const isLeader = () => replica.getState().role === "leader";
  const knowsRecorded = () => informedLead === leadCount;
  const registry = createEngineRegistry({
    silenceMs,
    quietMs: settings.beatIntervalMs * BEATS_OF_QUIET,
    now: listening.now,
    getLeave: machine.getLeave,
    // Before the first configuration any may come to be.
    isService(service) {
      const services = getServices();
      return services.length === 0 ||
        services.some(({ name }) => name === service);
    },
    publish: (change) => sessions.publishEngines(change),
    log,
  });
  const lender = createRepeatLender({
    ...settings.repeats,
    getLeadsForMs: () => now() - leadingSinceMs,
    now,
  });
  const propose = (command: FleetCommand) =>
    replica.propose(JSON.stringify(command));
  const quarantine = createQuarantineDesk({
    getCases: machine.getCases,
    propose,
    publish: (message) => sessions.publish(message),
    now,
    log,
  });
  const limits = createLimitDesk({
    publish: (limit) => sessions.publish({ type: "limits", limits: [limit] }),
    // Processes that lead one after the other begin at different times.
    firstVersion: Date.now(),
    now,
    log,
  });
  const sessions = createGatewaySessions({
    isLeader,
    hasLease: () => replica.hasLease(),
    // A gateway that joins is told of upstreams at once and takes callers: one that
    // came some ms after a new leader was told of none, and refused them.
    async confirmRead() {
      await replica.confirmRead();
      await addingRecorded;
    },
    getLeaderAddress: () => hasHeardLeader() ? getLeader()?.address ?? "" : "",
    getControlAddresses: () =>
      replica.getState().members.map((member) => member.address),
    getAccepted: machine.getAccepted,
    history,
    getEngines: registry.getRecords,
    knowsAllEngines: registry.knowsAll,
    knowsAllGateways: () => leadsFor(GATEWAYS_SETTLE_MS),
    lendRepeats: lender.lend,
    quarantine,
    limits,
    onSuspects: registry.takeSuspects,
    onSlow: (engineIds) => paces.noteSlow(engineIds),
    onLeaving: (engineIds) => void desk.noteLeaves(engineIds),
    now,
    listeningNow: listening.now,
    log,
    metrics,
  });
  // Orders and questions of the leader are no requests: a leave is news here, and a
  // limit that is named, but not that none is.
  function takeNotice(engineId: string, notice: EngineNotice): void {
    const { isLeaving, limitPerS = Infinity } = notice;
    if (isLeaving) void desk.noteLeaves([engineId]);
    if (limitPerS < Infinity) limits.take({ engineId, limitPerS });
  }

  const paces = createPaceWatch({
    getEngines: () =>
      registry.getRecords().filter((record) => record.layers !== undefined),
    readPace: options.readPace,
    onPace: registry.takePace,
    onNotice: takeNotice,
    now,
  });
  const keeper = createLayerKeeper({
    getServices,
    getEngines: registry.getRecords,
    sendOrder: options.sendLayerOrder,
    onNotice: takeNotice,
    hasLeft: (engineId) => machine.getLeave(engineId) !== undefined,
    hasEnded: (engineId) =>
      [...machine.getCases().values()].some((one) =>
        one.engineIds.includes(engineId)
      ),
    now,
    log,
  });
  const recorder = createEngineRecorder({
    getHeard: registry.getRecords,
    getRecorded: machine.getEngines,
    propose,
    log,
  });
  const gatewayRecorder = createGatewayRecorder({
    getTold: sessions.getToldGateways,
    getRecorded: machine.getGateways,
    propose,
    log,
  });
  const members = createMemberKeeper({
    replica,
    voters: settings.voters,
    silenceMs: VOTER_SILENCE_MS,
    now: listening.now,
    log,
  });
  const countVoters = () =>
    replica.getState().members.filter(({ role }) => role === "voter").length;
  const hasEnoughVoters = () =>
    leadsFor(VOTERS_WAIT_MS) || countVoters() >= settings.voters;
  const desk = createLeaderDesk({
    hasEnoughVoters,
    hasLease: () => replica.hasLease(),
    machine,
    registry,
    quarantine,
    propose,
    confirmRead: () => replica.confirmRead(),
    history,
    log,
  });
  const rounds = createLeaderRounds({
    // Before it knows what is recorded, it would record all of that as lost.
    isLeading: () => isLeader() && replica.hasLease() && knowsRecorded(),
    listening,
    listensFor,
    isFirstStart: settings.isFirstStart,
    sessions,
    registry,
    paces,
    quarantine,
    recorders: [recorder, gatewayRecorder],
    members,
    keeper,
    log,
  });
  const caller = createLeaderCaller();

  function takeChange(command: FleetCommand): void {
    if (command.type === "engines" || command.type === "gateways") return;
    if (command.type === "crashes" || command.type === "casesCleared") {
      return quarantine.noteChange({ isLeader: isLeader() });
    }
    if (command.type === "leave") {
      // Who does not lead keeps no registry; it asks the state when it leads.
      if (isLeader()) registry.takeLeave(command.engineId, command.kind);
      return;
    }
    history.note(command);
    log("configAccepted", { version: command.version });
    if (isLeader()) sessions.publishConfig(command.version);
  }

  function onLead(): void {
    leadCount += 1;
    leadingSinceMs = now();
    listensSinceMs = listening.now();
    members.reset();
    rounds.reset();
    registry.reset();
    keeper.reset();
    limits.reset();
    addingRecorded = addRecorded();
  }

  function onLeadLost(): void {
    leadingSinceMs = Infinity;
    sessions.closeAll();
  }

  // Only once its own term has committed has a leader applied all that counts.
  async function addRecorded(): Promise<void> {
    const lead = leadCount;
    try {
      await replica.confirmRead();
    } catch {
      // It no longer leads: whoever does adds them.
      return;
    }
    const accepted = machine.getAccepted();
    if (accepted) history.note(accepted);
    const recorded = [...machine.getEngines().values()];
    const staying = recorded.filter(({ engineId }) =>
      machine.getLeave(engineId) !== "gone"
    );
    const newestRuns = machine.getNewestRuns();
    registry.addRecorded(staying, { newestRuns });
    sessions.expectGateways(machine.getGateways().values());
    informedLead = lead;
  }

  function getLeader(): Member | undefined {
    const { leaderId, members } = replica.getState();
    return members.find((member) => member.id === leaderId);
  }

  // One that has just ended would only be asked in vain.
  function hasHeardLeader(): boolean {
    const { leaderContactMs } = replica.getState();
    return now() - leaderContactMs < LEADER_FRESH_MS;
  }

  function call(request: FleetCall): Promise<FleetReply> {
    if (isLeader()) return desk.take(request);
    const leader = getLeader();
    if (!leader || leader.id === replicaId) {
      return Promise.resolve({ type: "unavailable", reason: "no leader" });
    }
    return caller.call(leader.address, request);
  }

  async function takeCall(json: string): Promise<FleetReply> {
    // A call is passed on once: two processes that take each other for the
    // leader must not send it to and fro.
    if (isLeader()) return await desk.take(JSON.parse(json) as FleetCall);
    return { type: "unavailable", reason: "not the leader" };
  }

  const takeJoin = createJoinHandler({
    fleetId: settings.fleetId,
    replica,
    getIdentity: () => storage.identity,
    getLeaderAddress: () => getLeader()?.address ?? "",
    isKnownVm: () => true,
  });
  const server = await startFleetServer({
    address: settings.peerAddress,
    handleDeliver: transport.handleDeliver,
    handleSession: sessions.handleSession,
    takeJoin,
    takeCall,
  });

  const joining = new AbortController();
  if (storage.identity.clusterId === "") {
    void joinCluster({
      fleetId: settings.fleetId,
      vm: settings.callerAddress,
      address: settings.peerAddress,
      isObserver: settings.dataFolder === undefined,
      storage,
      signal: joining.signal,
      getPeerAddresses: () =>
        [
          ...options.getSeeds().map((seed) => seed.peerAddress),
          ...senders.values(),
        ].filter((address) => address !== settings.peerAddress),
    }).then((joined) => {
      if (joined) log("clusterJoined", { ...storage.identity });
    });
  }

  const timer = setInterval(rounds.tick, TICK_INTERVAL_MS);
  log("started", { vm: settings.callerAddress, replicaId });

  async function stop(): Promise<void> {
    log("stopping", { vm: settings.callerAddress });
    joining.abort();
    await handOver(replica);
    clearInterval(timer);
    sessions.closeAll();
    await caller[Symbol.asyncDispose]();
    await transport[Symbol.asyncDispose]();
    server.forceShutdown();
    await replica[Symbol.asyncDispose]();
  }

  return {
    call,
    getLeaderCallerAddress: () => getLeader()?.vm ?? "",
    getState: () => replica.getState(),
    stop,
  };
}
