/**
 * Control processes with sessions of gateways that record the messages they receive.
 *
 * @module
 */

import { once } from "node:events";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { Worker } from "node:worker_threads";
import { until } from "../../demo/until.ts";
import { decodeConfig } from "../../platform/decode_config.ts";
import {
  type FleetControl,
  type LeaderMessage,
  packDocument,
  runFleetControl,
} from "../../src/fleet/index.ts";
import type { LeaderLink } from "../../src/gateway/create_leader_link.ts";
import { createGatewayList } from "../../src/gateway/create_gateway_list.ts";
import type { Logger } from "../../src/logs/index.ts";
import { createMetrics } from "../../src/metrics/index.ts";
import type { HeartbeatThreadData } from "./beat_engines.ts";
import { findSeeds } from "./find_seeds.ts";
import { makeWireConfig } from "./fleet.ts";
import { openLink } from "./open_link.ts";

/** Ms between two heartbeats of an engine. */
const HEARTBEAT_INTERVAL_MS = 500;

/** A gateway's session with the messages it received. */
export interface TestSession {
  readonly vm: string;
  readonly link: LeaderLink;
  /** VMs of all gateways, one list per message received. */
  readonly receivedGateways: (readonly string[])[];
  /** Requests in flight on the first engine, one number per message received. */
  readonly receivedRequestCounts: number[];
  /** Engines that were reported as gone. */
  readonly removedIds: string[];
  /** Number of welcomes from a leader. */
  welcomes: number;
}

/** Options of {@link SessionFleet.open}. */
export interface OpenSessionOptions {
  /** Delay, in ms, after the loss of a leader until it searches for the next one. */
  readonly reconnectDelayMs?: number;
}

/** Control processes with sessions. */
export interface SessionFleet extends AsyncDisposable {
  /** Opens a gateway's session; it has one request in flight, on the first engine. */
  open(vm: string, options?: OpenSessionOptions): TestSession;
  findLeader(): FleetControl | undefined;
  stopLeader(): Promise<void>;
}

/** Options of {@link startSessionFleet}. */
export interface StartSessionFleetOptions {
  readonly controls?: number;
  readonly engines?: number;
  /** Receives the log lines of the control processes. */
  readonly log?: Logger;
}

/** Ms by which a session spreads its reconnection, per gateway of the fleet. */
const RECONNECT_SPREAD_MS = 3;

/** Starts control processes and engines with heartbeats; waits for a leader. */
export async function startSessionFleet(
  options: StartSessionFleetOptions = {},
): Promise<SessionFleet> {
  const { controls = 3, engines = 4, log = () => {} } = options;
  const folder = await mkdtemp(join(tmpdir(), "sessions-"));
  const seeds = await findSeeds(controls);
  const running = new Set<FleetControl>();
  const sessions = new Set<TestSession>();
  for (const [at, seed] of seeds.entries()) {
    running.add(
      await runFleetControl({
        fleetId: "sessions",
        ...seed,
        dataFolder: join(folder, String(at)),
        isFirstStart: true,
        voters: controls,
        upstreamHeartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
        retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
      }, {
        getSeeds: () => seeds,
        decodeConfig,
        sendLayerOrder: () => Promise.resolve("begun"),
        readPace: () => Promise.resolve(1),
        log,
        metrics: createMetrics(),
        onFatal: (error) => {
          throw error;
        },
      }),
    );
  }
  const findLeader = () =>
    [...running].find((one) => one.getState().role === "leader");
  await until("a control process leads", () => findLeader() !== undefined);
  await until("a configuration is accepted", async () => {
    const packed = packDocument(JSON.stringify(makeWireConfig(1)));
    const reply = await findLeader()?.call({ type: "putConfig", packed });
    return reply?.type === "done";
  });

  const heartbeatThread = new Worker(
    new URL("./beat_engines.js", import.meta.url),
    {
      workerData: {
        addresses: seeds.map((seed) => seed.peerAddress),
        engines,
        intervalMs: HEARTBEAT_INTERVAL_MS,
      } satisfies HeartbeatThreadData,
    },
  );

  function open(
    vm: string,
    { reconnectDelayMs = 0 }: OpenSessionOptions = {},
  ) {
    const gateways = createGatewayList();
    const session: Omit<TestSession, "link"> = {
      vm,
      receivedGateways: [],
      receivedRequestCounts: [],
      removedIds: [],
      welcomes: 0,
    };
    function record(message: LeaderMessage): void {
      if (message.type === "engines") session.removedIds.push(...message.gone);
      if (message.type === "loads") {
        session.receivedRequestCounts.push(message.loads.e0?.requests ?? 0);
      }
      if (message.type !== "gateways") return;
      gateways.update(message);
      session.receivedGateways.push(gateways.list().map((one) => one.vm));
    }
    const link = openLink({
      vm,
      getSeedAddresses: () => seeds.map((seed) => seed.peerAddress),
      getGatewayCount: () => reconnectDelayMs / RECONNECT_SPREAD_MS,
      getLoads: () => ({ e0: { tokens: 100, requests: 1 } }),
      onWelcome: () => void (session.welcomes += 1),
      onMessage: record,
    });
    const opened = Object.assign(session, { link });
    sessions.add(opened);
    return opened;
  }

  return {
    open,
    findLeader,
    async stopLeader() {
      const leader = findLeader();
      if (!leader) throw new Error("No control process leads");
      running.delete(leader);
      await leader.stop();
    },
    async [Symbol.asyncDispose]() {
      heartbeatThread.postMessage("stop");
      await once(heartbeatThread, "exit");
      await Promise.all(
        [...sessions].map(({ link }) => link[Symbol.asyncDispose]()),
      );
      await Promise.all([...running].map((control) => control.stop()));
      await rm(folder, { recursive: true, force: true });
    },
  };
}
