/**
 * Control processes before bare sessions of gateways, which keep what they are told.
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
  startFleetControl,
} from "../../src/fleet/index.ts";
import type { FleetLink } from "../../src/gateway/create_fleet_link.ts";
import { createGatewayList } from "../../src/gateway/create_gateway_list.ts";
import type { Logger } from "../../src/logs/index.ts";
import { createMetrics } from "../../src/metrics/index.ts";
import type { BeatEnginesData } from "./beat_engines.ts";
import { findSeeds } from "./find_seeds.ts";
import { makeWireConfig } from "./fleet.ts";
import { openLink } from "./open_link.ts";

/** Ms between two beats of an engine. */
const BEAT_MS = 500;

/** A gateway's session with what it was told. */
export interface TestSession {
  readonly vm: string;
  readonly link: FleetLink;
  /** VMs of all gateways, each time that it was told of them. */
  readonly toldGateways: (readonly string[])[];
  /** Requests in flight on the first engine, each time that it was told of them. */
  readonly toldRequests: number[];
  /** Engines that it was told to be gone. */
  readonly goneEngines: string[];
  /** Times that a leader took it in. */
  welcomes: number;
}

/** Options of {@link SessionFleet.open}. */
export interface OpenSessionOptions {
  /** Ms for which it waits, having lost a leader, before it looks for the next. */
  readonly returnMs?: number;
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
  /** Takes the log lines of the control processes. */
  readonly log?: Logger;
}

/** Ms of spread that a session chooses for each gateway that it is told there are. */
const SPREAD_MS_PER_GATEWAY = 3;

/** Starts control processes and engines that beat; waits until one leads. */
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
      await startFleetControl({
        fleetId: "sessions",
        ...seed,
        dataFolder: join(folder, String(at)),
        isFirstStart: true,
        voters: controls,
        beatIntervalMs: BEAT_MS,
        repeats: { extra: 100, windowMs: 10_000 },
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
  await until("one leads", () => findLeader() !== undefined);
  await until("a version is taken", async () => {
    const packed = packDocument(JSON.stringify(makeWireConfig(1)));
    const reply = await findLeader()?.call({ type: "putConfig", packed });
    return reply?.type === "done";
  });

  const beating = new Worker(new URL("./beat_engines.js", import.meta.url), {
    workerData: {
      addresses: seeds.map((seed) => seed.peerAddress),
      engines,
      intervalMs: BEAT_MS,
    } satisfies BeatEnginesData,
  });

  function open(vm: string, { returnMs = 0 }: OpenSessionOptions = {}) {
    const gateways = createGatewayList();
    const session: Omit<TestSession, "link"> = {
      vm,
      toldGateways: [],
      toldRequests: [],
      goneEngines: [],
      welcomes: 0,
    };
    function take(message: LeaderMessage): void {
      if (message.type === "engines") session.goneEngines.push(...message.gone);
      if (message.type === "loads") {
        session.toldRequests.push(message.loads.e0?.requests ?? 0);
      }
      if (message.type !== "gateways") return;
      gateways.take(message);
      session.toldGateways.push(gateways.list().map((one) => one.vm));
    }
    const link = openLink({
      vm,
      getSeedAddresses: () => seeds.map((seed) => seed.peerAddress),
      getGatewayCount: () => returnMs / SPREAD_MS_PER_GATEWAY,
      getLoads: () => ({ e0: { tokens: 100, requests: 1 } }),
      onWelcome: () => void (session.welcomes += 1),
      onMessage: take,
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
      if (!leader) throw new Error("Nobody leads");
      running.delete(leader);
      await leader.stop();
    },
    async [Symbol.asyncDispose]() {
      beating.postMessage("stop");
      await once(beating, "exit");
      await Promise.all(
        [...sessions].map(({ link }) => link[Symbol.asyncDispose]()),
      );
      await Promise.all([...running].map((control) => control.stop()));
      await rm(folder, { recursive: true, force: true });
    },
  };
}
