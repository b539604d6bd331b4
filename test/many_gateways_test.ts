/**
 * Two hundred gateways on three control processes: all receive the configuration, the
 * engines and the load totals, and none loses them when the leader stops.
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { decodeConfig } from "../platform/decode_config.ts";
import {
  type FleetControl,
  type FleetSeed,
  type LeaderMessage,
  packDocument,
  runFleetControl,
  unpackDocument,
} from "../src/fleet/index.ts";
import {
  createLeaderLink,
  type LeaderLink,
} from "../src/gateway/create_leader_link.ts";
import { createMetrics } from "../src/metrics/index.ts";
import { applyConfigChange, type RouteConfig } from "../src/routes/index.ts";
import { findSeeds } from "./support/find_seeds.ts";
import { makeWireConfig } from "./support/fleet.ts";
import { makeHeartbeat } from "./support/make_beat.ts";

const GATEWAYS = 200;
const ENGINES = 60;
const CONTROLS = 3;

/** Interval between two heartbeats of an engine. */
const HEARTBEAT_MS = 500;

/** A gateway's session with the state that it received. */
interface GatewaySession {
  readonly link: LeaderLink;
  readonly engineIds: Set<string>;
  /** Fewest engines known at a time since all were known. */
  fewestEngines: number;
  config: RouteConfig | undefined;
  confirmedVersion: number;
  /** Number of load totals received. */
  loadTotals: number;
  /** Requests of all gateways on the first engine, as received last. */
  requestsOnFirst: number;
  /** Fewest such requests received since those of all gateways were received. */
  fewestRequests: number;
}

function openGateway(at: number, seeds: readonly FleetSeed[]): GatewaySession {
  const gateway: Omit<GatewaySession, "link"> = {
    engineIds: new Set(),
    fewestEngines: Infinity,
    config: undefined,
    confirmedVersion: -1,
    loadTotals: 0,
    requestsOnFirst: 0,
    fewestRequests: Infinity,
  };
  const getVersion = () => gateway.config?.version ?? -1;

  function applyEngines(message: LeaderMessage & { type: "engines" }): void {
    const { engineIds } = gateway;
    if (message.isWhole) engineIds.clear();
    message.gone.forEach((id) => engineIds.delete(id));
    message.engines.forEach(({ engineId }) => engineIds.add(engineId));
    if (gateway.fewestEngines === Infinity && engineIds.size < ENGINES) return;
    gateway.fewestEngines = Math.min(gateway.fewestEngines, engineIds.size);
  }

  function applyLoads({ loads }: LeaderMessage & { type: "loads" }): void {
    const requests = loads.e0?.requests ?? 0;
    gateway.loadTotals += 1;
    gateway.requestsOnFirst = requests;
    if (gateway.fewestRequests === Infinity && requests < GATEWAYS) return;
    gateway.fewestRequests = Math.min(gateway.fewestRequests, requests);
  }

  const link = createLeaderLink({
    getSeedAddresses: () => seeds.map((seed) => seed.peerAddress),
    getGateway: () => ({
      vm: `g${at}`,
      place: `p${at % 5}`,
      address: `10.0.${at % 5}.${at}:80`,
      isReady: true,
    }),
    getGatewayCount: () => GATEWAYS,
    getVersion,
    takeSuspects: () => [],
    takeLostEngines: () => [],
    listUnreportedLeaving: () => [],
    takeLimitReports: () => [],
    takeSlowEngines: () => [],
    getLoads: () => ({ e0: { tokens: 100, requests: 1 } }),
    processId: "process",
    takeRetryReports: () => ({}),
    takeActivity: () => ({}),
    collectQuarantineUpdate: () => ({}),
    onWelcome: () => {},
    onMessage(message) {
      if (message.type === "engines") applyEngines(message);
      if (message.type === "config") {
        gateway.config = decodeConfig(unpackDocument(message.packed));
      }
      if (message.type === "configChange") {
        if (!gateway.config) throw new Error("Config change before any config");
        gateway.config = applyConfigChange(gateway.config, message.change);
      }
      if (message.type === "loads") applyLoads(message);
    },
    onVersionConfirmed: (_sentMs, version) => {
      gateway.confirmedVersion = version;
    },
    now: () => performance.now(),
    random: Math.random,
    log: () => {},
  });
  return Object.assign(gateway, { link });
}

async function startFleet() {
  const folder = await mkdtemp(join(tmpdir(), "many-"));
  const seeds = await findSeeds(CONTROLS);
  const running = new Set<FleetControl>();
  for (const [at, seed] of seeds.entries()) {
    running.add(
      await runFleetControl({
        fleetId: "many",
        ...seed,
        dataFolder: join(folder, String(at)),
        isFirstStart: true,
        voters: CONTROLS,
        upstreamHeartbeatIntervalMs: HEARTBEAT_MS,
        retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
      }, {
        getSeeds: () => seeds,
        decodeConfig,
        sendLayerOrder: () => Promise.resolve("begun"),
        readPace: () => Promise.resolve(1),
        log: () => {},
        metrics: createMetrics(),
        onFatal: (error) => {
          throw error;
        },
      }),
    );
  }
  const findLeader = () =>
    [...running].find((one) => one.getState().role === "leader");
  let sequence = 0;
  const heartbeatTimer = setInterval(() => {
    sequence += 1;
    const [any] = running;
    for (let at = 0; at < ENGINES; at++) {
      const beat = makeHeartbeat({
        engineId: `e${at}`,
        service: "model",
        address: `10.1.0.${at}:80`,
        sequence,
      });
      void any?.call({ type: "beat", beat });
    }
  }, HEARTBEAT_MS);
  const gateways = Array.from(
    { length: GATEWAYS },
    (_, at) => openGateway(at, seeds),
  );
  return {
    gateways,
    findLeader,
    async put(version: number) {
      const packed = packDocument(JSON.stringify(makeWireConfig(version)));
      const reply = await findLeader()?.call({ type: "putConfig", packed });
      return reply?.type === "done";
    },
    async stopLeader() {
      const leader = findLeader();
      if (!leader) throw new Error("No control process leads");
      running.delete(leader);
      await leader.stop();
    },
    async [Symbol.asyncDispose]() {
      clearInterval(heartbeatTimer);
      await Promise.all(
        gateways.map(({ link }) => link[Symbol.asyncDispose]()),
      );
      await Promise.all([...running].map((control) => control.stop()));
      await rm(folder, { recursive: true, force: true });
    },
  };
}

test("200 gateways are told all, and keep it when the leader goes", async () => {
  await using fleet = await startFleet();
  const { gateways } = fleet;
  const all = (holds: (gateway: GatewaySession) => boolean) => () =>
    gateways.every(holds);
  await until("a version is taken", () => fleet.put(1));
  await until("all know it", all((one) => one.confirmedVersion === 1));
  await until(
    "all know all engines",
    all(({ engineIds }) => engineIds.size === ENGINES),
  );
  await until(
    "all are told the work of all",
    all((one) => one.requestsOnFirst === GATEWAYS),
  );
  await fleet.put(3);
  await until("all have the change", all((one) => one.confirmedVersion === 3));
  assert.ok(gateways.every((one) => one.config?.version === 3));

  for (const gateway of gateways) gateway.loadTotals = 0;
  await fleet.stopLeader();
  await until("another leads", () => fleet.findLeader() !== undefined);
  await until("it takes a version", () => fleet.put(5));
  await until("all follow it", all((one) => one.confirmedVersion === 5));
  await until(
    "all are told the work of all again",
    all((one) => one.loadTotals > 0 && one.requestsOnFirst === GATEWAYS),
  );
  // A new leader first receives heartbeats of all engines; no gateway drops any meanwhile.
  assert.ok(gateways.every((one) => one.fewestEngines === ENGINES));
  // Partial load totals are not sent either: engines would appear idle.
  assert.ok(gateways.every((one) => one.fewestRequests === GATEWAYS));
});

test.run();
