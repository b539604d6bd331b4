/**
 * The control program put together.
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
import { bindGrpc, CHANNEL_OPTIONS, wire } from "../wire/index.ts";
import { createUpstreamClient } from "../upstreams/index.ts";
import { createAgentService } from "./create_agent_service.ts";
import { createFleetView } from "./create_fleet_view.ts";
import { createJoinHandler } from "./create_join_handler.ts";
import { createOperatorApi } from "./create_operator_api.ts";
import { createOrderDispatcher } from "./create_order_dispatcher.ts";
import type { Replica } from "./create_replica.ts";
import { createReplicaHost } from "./create_replica_host.ts";
import { joinCluster } from "./join_cluster.ts";
import { readPlatformList } from "./read_platform_list.ts";
import { startLeaderDuties } from "./start_leader_duties.ts";
import { createStateMachine } from "./state_machine.ts";

/** A running control program. */
export interface ControlProgram extends AsyncDisposable {
  /** Port of the resource interface. */
  readonly port: number;
  /** Port that replicas and entries talk to. */
  readonly peerPort: number;
  readonly replica: Replica;
  /** Hands leadership over, then ends. */
  stop(): Promise<void>;
}

/** Options of {@link startControl}. */
export interface StartControlOptions {
  /** Forms a new cluster of this replica alone, if its folder is new. */
  readonly form?: boolean;
  readonly log: Logger;
  readonly metrics: Metrics;
  readonly onFatal: (error: unknown) => void;
}

/** Ms that a planned stop waits for another leader. */
const HANDOVER_TIMEOUT_MS = 1_000;

/**
 * Starts the control program.
 *
 * @param settings - Its settings.
 * @param options - Whether to form a cluster; logs and metrics.
 * @returns The running program.
 * @throws {StorageOwnerError | StorageDamageError} When the data folder is
 * refused.
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
    onLead,
    onLeadLost,
    onFatal: options.onFatal,
    tls: settings.peerTls,
    log,
    metrics,
    now,
  });
  let leadingSinceMs = 0;
  let ledgerBase = { startMs: 0, ledgerMs: 0 };

  function onLead(): void {
    view.reset();
    leadingSinceMs = now();
    // The claims' window runs on the leaders' monotonic time alone, so that no
    // step of a wall clock shortens it.
    ledgerBase = { startMs: now(), ledgerMs: machine.getLedgerTimeMs() };
  }

  function onLeadLost(): void {
    agents.closeAll("not_leader");
    api.closeWatches();
  }

  // A new learner has no members yet: ids begin with the name of their VM.
  function getAddress(
    id: string,
    { members }: QuorumState,
  ): string | undefined {
    const member = members.find((candidate) => candidate.id === id);
    const named = settings.controlVms.find(({ vm }) => id.startsWith(`${vm}.`));
    return member?.address ?? named?.peerAddress;
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
    peekClaim: machine.peek,
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
  const takeJoin = createJoinHandler({
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
        void takeJoin(call.request).then((answer) => done(null, answer));
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
  const duties = startLeaderDuties({
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
  const joining = new AbortController();
  if (storage.identity.clusterId === "") {
    const { signal } = joining;
    const others = settings.controlVms.filter((other) => other.vm !== vm);
    void joinCluster({
      fleetId,
      vm,
      address: selfAddress,
      storage,
      signal,
      getPeerAddresses: () => others.map(({ peerAddress }) => peerAddress),
      tls: settings.peerTls,
    })
      .then((joined) => {
        if (joined) log("clusterJoined", { ...storage.identity });
      });
  }
  log("started", { vm, port, peerPort, replicaId: storage.identity.replicaId });

  async function dispose(): Promise<void> {
    joining.abort();
    await duties[Symbol.asyncDispose]();
    await client[Symbol.asyncDispose]();
    api.closeWatches();
    agents.closeAll("stopping");
    await closeServer(server);
    await transport[Symbol.asyncDispose]();
    grpc.forceShutdown();
    await replica[Symbol.asyncDispose]();
  }

  async function stop(): Promise<void> {
    log("stopping", { vm });
    if (replica.getState().role === "leader") {
      replica.transferLeadership();
      const untilMs = now() + HANDOVER_TIMEOUT_MS;
      while (replica.getState().role === "leader" && now() < untilMs) {
        await new Promise((resolve) => setTimeout(resolve, 10));
      }
    }
    await dispose();
  }

  return { port, peerPort, replica, stop, [Symbol.asyncDispose]: dispose };
}
