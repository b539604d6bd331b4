/**
 * Assembles and starts the control program.
 *
 * @module
 */

import { randomBytes } from "node:crypto";
import { Server } from "@grpc/grpc-js";
import { closeServer, createServer } from "../http/index.ts";
import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";
import { DEFAULT_QUORUM_TIMING, type QuorumState } from "../quorum/index.ts";
import type { ControlSettings } from "../settings/index.ts";
import { openQuorumStorage } from "../storage/index.ts";
import { answerCall, bindGrpc, CHANNEL_OPTIONS, wire } from "../wire/index.ts";
import { createUpstreamClient } from "../upstreams/index.ts";
import { createAgentService } from "./create_agent_service.ts";
import { createFleetView } from "./create_fleet_view.ts";
import { createJoinHandler } from "./create_join_handler.ts";
import { createOperatorApi } from "./create_operator_api.ts";
import { createOrderDispatcher } from "./create_order_dispatcher.ts";
import type { Replica } from "./create_replica.ts";
import { createReplicaHost } from "./create_replica_host.ts";
import { keepJoined } from "./keep_joined.ts";
import { readPlatformList } from "./read_platform_list.ts";
import { startLeaderTasks } from "./start_leader_tasks.ts";
import { createStateMachine } from "./state_machine.ts";

/** A running control program. */
export interface ControlProgram extends AsyncDisposable {
  /** Port of the resource API. */
  readonly port: number;
  /** Port of the gRPC services for replicas and entries. */
  readonly peerPort: number;
  readonly replica: Replica;
  /** Transfers leadership if this replica leads, then stops. */
  stop(): Promise<void>;
}

/** Options of {@link startControl}. */
export interface StartControlOptions {
  /** Forms a new single-replica cluster if the data folder is new. */
  readonly form?: boolean;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly onFatal: (error: unknown) => void;
}

/** How long a planned stop waits for the leadership transfer, in ms. */
const TRANSFER_TIMEOUT_MS = 1_000;

/**
 * Starts the control program.
 *
 * @param settings - The program's settings.
 * @param options - Whether to form a cluster; the logger and the metrics.
 * @returns The running program.
 * @throws {StorageOwnerError | StorageDamageError} If the data folder is in use,
 * belongs to another replica, or is damaged.
 * @example
 * const control = await startControl(settings, { log, metrics, onFatal });
 */
export async function startControl(
  settings: ControlSettings,
  options: StartControlOptions,
): Promise<ControlProgram> {
  const { log, metrics } = options;
  const { fleetId, vm, dataFolder } = settings;
  const now = () => performance.now();
  const self = settings.controlVms.find((control) => control.vm === vm);
  const selfAddress = self?.peerAddress ?? "";
  const clusterId = randomBytes(8).toString("hex");
  const storage = await openQuorumStorage({
    folder: dataFolder,
    fleetId,
    vm,
    form: options.form ? { address: selfAddress, clusterId } : undefined,
  });
  if (storage.identity.clusterId === clusterId) {
    log("clusterFormed", { ...storage.identity });
  }
  if (storage.stored.tornBytes > 0) {
    log("tornTailCut", { sizeBytes: storage.stored.tornBytes });
  }
  const machine = createStateMachine({
    claimWindowMs: settings.claimWindowMs,
    onChange: (change) => {
      agents.publishChange(change);
      api.publishChange(change);
    },
  });
  const view = createFleetView({
    leaseMs: settings.entryLeaseMs,
    now,
    log,
    onChange: (live) => agents.publishLive(live),
  });
  const { replica, transport } = createReplicaHost({
    storage,
    machine,
    timing: {
      ...settings.quorum,
      leaseMs: settings.quorum.electionTimeoutMs *
        (DEFAULT_QUORUM_TIMING.leaseMs /
          DEFAULT_QUORUM_TIMING.electionTimeoutMs),
    },
    snapshotEntries: settings.snapshotEntries,
    getAddress,
    onLeadershipGained: startLeading,
    onLeadershipLost: stopLeading,
    onFatal: options.onFatal,
    tls: settings.peerTls,
    log,
    metrics,
    now,
  });
  let leadingSinceMs = 0;
  let ledgerBase = { startMs: 0, ledgerMs: 0 };

  function startLeading(): void {
    view.reset();
    leadingSinceMs = now();
    // The claim ledger's clock advances only with the leaders' monotonic time, so
    // that a step of the wall clock can't shorten the claim window.
    ledgerBase = { startMs: now(), ledgerMs: machine.getLedgerTimeMs() };
  }

  function stopLeading(): void {
    agents.redirectAll("not_leader");
    api.closeWatches();
  }

  // A new learner doesn't know the members yet. Replica ids start with the name of
  // their VM, so the address is taken from the settings instead.
  function getAddress(
    id: string,
    { members }: QuorumState,
  ): string | undefined {
    const member = members.find((candidate) => candidate.id === id);
    const configured = settings.controlVms.find(({ vm }) =>
      id.startsWith(`${vm}.`)
    );
    return member?.address ?? configured?.peerAddress;
  }

  const getLeader = () => {
    const { leaderId, members } = replica.getState();
    const leaderVm = members.find((member) => member.id === leaderId)?.vm;
    return settings.controlVms.find((control) => control.vm === leaderVm);
  };
  const agents = createAgentService({
    fleetId,
    getClusterId: () => storage.identity.clusterId,
    getLeaderAddress: () => getLeader()?.peerAddress ?? "",
    isLeader: () => replica.getState().role === "leader",
    getTerm: () => replica.getState().term,
    confirmRead: () => replica.confirmRead(),
    hasLease: () => replica.hasLease(),
    peekClaim: machine.peekClaim,
    propose: (command) => replica.propose(JSON.stringify(command)),
    getResources: machine.getResources,
    getLedgerNowMs: () => ledgerBase.ledgerMs + now() - ledgerBase.startMs,
    view,
    log,
    metrics,
  });
  const server = createServer({
    limits: settings.limits,
    tls: settings.callerTls,
    log,
  });
  const api = createOperatorApi({
    server,
    replica,
    view,
    getResources: machine.getResources,
    getLeaderAddress: () => getLeader()?.operatorAddress ?? "",
    bootstrapTokenSha256: settings.bootstrapOperatorTokenSha256,
    vm,
    isReady: () => replica.getState().leaderId !== null,
    log,
    metrics,
  });
  const handleJoin = createJoinHandler({
    fleetId,
    replica,
    getIdentity: () => storage.identity,
    getLeaderAddress: () => getLeader()?.peerAddress ?? "",
    isKnownVm: (name) => settings.controlVms.some((c) => c.vm === name),
  });
  const grpc = new Server(CHANNEL_OPTIONS);
  grpc.addService(
    wire.PeerService,
    {
      deliver: transport.handleDeliver,
      join: (call, done) => {
        void answerCall(handleJoin(call.request), {
          done,
          onFailed: (error) => log("rpcFailed", { rpc: "join", error }),
        });
      },
    } satisfies wire.PeerServer,
  );
  grpc.addService(wire.AgentService, { session: agents.handleSession });

  const { peerListen, listen } = settings;
  const peerPort = await bindGrpc(grpc, {
    address: `${peerListen.host}:${peerListen.port}`,
    tls: settings.peerTls,
  });
  await server.listen(listen);
  const { port } = server.server.address() as { port: number };
  const client = createUpstreamClient();
  const orders = createOrderDispatcher({
    replica,
    view,
    getResources: machine.getResources,
    propose: (command) => replica.propose(JSON.stringify(command)),
    client,
    getLeadingSinceMs: () => leadingSinceMs,
    leaseMs: replica.getState().timing.leaseMs,
    now,
    log,
    metrics,
  });
  const leaderTasks = startLeaderTasks({
    orders,
    replica,
    view,
    agents,
    getResources: machine.getResources,
    controlVms: settings.controlVms.map((control) => control.vm),
    readPlatformList: settings.platformListUrl === undefined
      ? undefined
      : () =>
        readPlatformList(settings.platformListUrl ?? "", {
          timeoutMs: settings.platformPollMs * 4,
        }),
    platformPollMs: settings.platformPollMs,
    log,
  });
  const joinAbort = new AbortController();
  const others = settings.controlVms.filter((other) => other.vm !== vm);
  void keepJoined({
    fleetId,
    vm,
    address: selfAddress,
    storage,
    signal: joinAbort.signal,
    getPeerAddresses: () => others.map(({ peerAddress }) => peerAddress),
    getSilenceMs() {
      const { role, leaderContactMs } = replica.getState();
      return role === "leader" ? 0 : now() - leaderContactMs;
    },
    onOutside: () => log("leaderSilent"),
    onWriteError: (error) => log("diskFull", { error }),
    onJoined: () => log("clusterJoined", { ...storage.identity }),
    tls: settings.peerTls,
  });
  log("started", { vm, port, peerPort, replicaId: storage.identity.replicaId });

  async function dispose(): Promise<void> {
    joinAbort.abort();
    await leaderTasks[Symbol.asyncDispose]();
    await client[Symbol.asyncDispose]();
    api.closeWatches();
    agents.redirectAll("stopping");
    await closeServer(server);
    await transport[Symbol.asyncDispose]();
    grpc.forceShutdown();
    await replica[Symbol.asyncDispose]();
  }

  async function stop(): Promise<void> {
    log("stopping", { vm });
    if (replica.getState().role === "leader") {
      replica.transferLeadership();
      const untilMs = now() + TRANSFER_TIMEOUT_MS;
      while (replica.getState().role === "leader" && now() < untilMs) {
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
    }
    await dispose();
  }

  return { port, peerPort, replica, stop, [Symbol.asyncDispose]: dispose };
}
