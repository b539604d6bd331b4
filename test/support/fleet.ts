/**
 * A fleet on the platform's protocol for tests: control processes and gateways run
 * in this process; engines and the operator are stand-ins.
 *
 * @module
 */

import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { until } from "../../demo/until.ts";
import { callerCodec } from "../../platform/codec.ts";
import { decodeConfig } from "../../platform/decode_config.ts";
import { createControlApi } from "../../platform/control_api.ts";
import { createEngineCalls } from "../../platform/engine_calls.ts";
import { type FleetControl, runFleetControl } from "../../src/fleet/index.ts";
import { type Gateway, startGateway } from "../../src/gateway/index.ts";
import { closeServer } from "../../src/http/index.ts";
import type { Logger } from "../../src/logs/index.ts";
import { createMetrics } from "../../src/metrics/index.ts";
import {
  type LayerEngine,
  LAYERS,
  makeWireConfig,
  startLayerEngine,
} from "../../standins/index.ts";
import { findSeeds } from "./find_seeds.ts";

export { LAYERS, makeWireConfig };

const { engineControl, readPace, sendLayerOrder } = createEngineCalls();

/** A control process under test. */
export interface TestControl {
  readonly callerAddress: string;
  /** Address for gateways and other control processes. */
  readonly peerAddress: string;
  readonly control: FleetControl;
  stop(): Promise<void>;
}

/** A gateway with its address. */
export interface TestGateway {
  readonly gateway: Gateway;
  readonly address: string;
}

/** A fleet under test. */
export interface TestFleet extends AsyncDisposable {
  readonly controls: TestControl[];
  readonly gateways: TestGateway[];
  /** Engines of the layered model. */
  readonly engines: LayerEngine[];
  /** Upstreams of the plain service. */
  readonly plain: LayerEngine[];
  /** Puts a configuration to one control process; resolves with the HTTP status. */
  put(config: object, at?: number): Promise<number>;
  readConfig(at?: number): Promise<{ status: number; text: string }>;
  /** Resolves once all gateways hold at least this version and are ready. */
  waitForVersion(version: number): Promise<void>;
  addEngine(place?: string): Promise<LayerEngine>;
  addPlainEngine(): Promise<LayerEngine>;
  addGateway(): Promise<TestGateway>;
}

const NO_LOG: Logger = () => {};

/** The answer to a caller. */
export interface CallAnswer {
  readonly status: number;
  readonly text: string;
  readonly headers: Record<string, string | string[] | undefined>;
}

let lastRequestNumber = 0;

/** Sends one request to a gateway as a caller. */
export async function call(
  address: string,
  options: {
    path: string;
    key?: string;
    deadlineMs?: number;
    signal?: AbortSignal;
    body?: string;
    /** Ids of the parts of the prompt; none are named by default. */
    parts?: readonly string[];
    /** Prefix of the request's id. */
    idPrefix?: string;
    /** Called with the status before the body is read. */
    onStatus?: (status: number) => void;
  },
): Promise<CallAnswer & { requestId: string }> {
  const { path, key = "key-1", deadlineMs = 5_000, signal } = options;
  lastRequestNumber += 1;
  const requestId = `${options.idPrefix ?? "request"}-${lastRequestNumber}`;
  const answer = await request(`http://${address}${path}`, {
    method: "POST",
    headers: {
      host: "a.example",
      "x-attempt-id": requestId,
      "x-deadline-ms": String(deadlineMs),
      "x-token-usage": "20,20",
      "x-api-key": key,
      ...(options.parts
        ? { "x-prompt-prefix": formatParts(options.parts) }
        : {}),
    },
    body: options.body ?? "hello",
    signal,
  });
  options.onStatus?.(answer.statusCode);
  const text = await answer.body.text();
  const { statusCode: status, headers } = answer;
  return { status, text, headers, requestId };
}

function formatParts(parts: readonly string[]): string {
  return parts.map((id) => `${id}:10`).join();
}

/** Starts a fleet without a configuration. */
export async function startTestFleet(
  options: {
    controls?: number;
    gateways?: number;
    events?: number;
    graceMs?: number;
    /** Retries that the leader may lend in 10 s beside a share of the requests. */
    extraRetries?: number;
    /** Receives the log lines of the gateways. */
    log?: Logger;
  } = {},
): Promise<TestFleet> {
  const {
    controls: controlCount = 3,
    gateways: gatewayCount = 2,
    graceMs = 500,
    extraRetries = 100,
  } = options;
  const folder = await mkdtemp(join(tmpdir(), "fleet-"));
  const seeds = await findSeeds(controlCount);
  const ports = await findFreePorts(gatewayCount);
  const metrics = createMetrics();

  async function startControl(at: number): Promise<TestControl> {
    const { callerAddress, peerAddress } = seeds[at];
    const control = await runFleetControl({
      fleetId: "test",
      callerAddress,
      peerAddress,
      dataFolder: join(folder, String(at)),
      isFirstStart: true,
      voters: controlCount,
      upstreamHeartbeatIntervalMs: 200,
      retryBudget: { ratio: 0.2, extra: extraRetries, windowMs: 10_000 },
    }, {
      getSeeds: () => seeds,
      decodeConfig,
      sendLayerOrder,
      readPace,
      log: NO_LOG,
      metrics,
      onFatal: (error) => {
        throw error;
      },
    });
    const api = createControlApi({
      call: control.call,
      getLeaderAddress: control.getLeaderCallerAddress,
    });
    const [host, port] = callerAddress.split(":");
    await api.listen({ host, port: Number(port) });
    return {
      callerAddress,
      peerAddress,
      control,
      async stop() {
        await control.stop();
        await closeServer(api);
      },
    };
  }

  const controls = await Promise.all(
    seeds.map((_seed, at) => startControl(at)),
  );
  const startOneGateway = async (port: number, at: number) => ({
    address: `127.0.0.1:${port}`,
    gateway: await startGateway({
      vm: `gateway-${at}`,
      place: "p1",
      listen: { host: "127.0.0.1", port },
      revokeMs: 5_000,
      retryBudget: { ratio: 0.2, extra: 100, windowMs: 10_000 },
      graceMs,
    }, {
      codec: callerCodec,
      engineControl,
      decodeConfig,
      getSeedAddresses: () => seeds.map((seed) => seed.peerAddress),
      log: options.log ?? NO_LOG,
      metrics,
    }),
  });
  const gateways = await Promise.all(ports.map(startOneGateway));
  const controlAddresses = seeds.map((seed) => seed.callerAddress);
  const startUpstream = (service: string, card?: string, place = "p1") =>
    startLayerEngine({
      service,
      place,
      controlAddresses,
      card,
      events: options.events,
    });
  const engines = await Promise.all([
    ...[0, 1].map(() => startUpstream("model", "card", "p1")),
    ...[0, 1].map(() => startUpstream("model", "card", "p2")),
  ]);
  const plain = await Promise.all([0, 1].map(() => startUpstream("plain")));

  return {
    controls,
    gateways,
    engines,
    plain,
    async put(config, at = 0) {
      const answer = await request(
        `http://${controlAddresses[at]}/api/config/put`,
        { method: "POST", body: JSON.stringify(config) },
      );
      await answer.body.dump();
      return answer.statusCode;
    },
    async readConfig(at = 0) {
      const answer = await request(
        `http://${controlAddresses[at]}/api/config/get`,
      );
      return { status: answer.statusCode, text: await answer.body.text() };
    },
    async waitForVersion(version) {
      await until(
        "gateways hold the version",
        () =>
          gateways.every(({ gateway }) =>
            gateway.getVersion() >= version && gateway.isReady()
          ),
      );
    },
    async addPlainEngine() {
      const engine = await startUpstream("plain");
      plain.push(engine);
      return engine;
    },
    async addGateway() {
      const [port] = await findFreePorts(1);
      const added = await startOneGateway(port, gateways.length);
      gateways.push(added);
      return added;
    },
    async addEngine(place = "p1") {
      const engine = await startUpstream("model", "card", place);
      engines.push(engine);
      return engine;
    },
    async [Symbol.asyncDispose]() {
      await Promise.all(gateways.map(({ gateway }) => gateway.stop()));
      const all = [...engines, ...plain];
      await Promise.all(all.map((one) => one[Symbol.asyncDispose]()));
      await Promise.all(controls.map((control) => control.stop()));
      await rm(folder, { recursive: true, force: true });
    },
  };
}

/** Events in a stand-in's answer by default. */
const EVENTS = 20;

/** Returns the body of a complete event stream. */
export function expectStream(events = EVENTS): string {
  const ids = Array.from({ length: events }, (_, at) => at + 1);
  return ids.map((id) => `id: ${id}\ndata: token ${id}\n\n`).join("");
}

/** Stops the leader; returns false if no control process leads. */
export async function stopLeader(fleet: TestFleet): Promise<boolean> {
  const at = fleet.controls.findIndex(({ control }) =>
    control.getState().role === "leader"
  );
  if (at < 0) return false;
  const [leader] = fleet.controls.splice(at, 1);
  await leader.stop();
  return true;
}

async function waitForPlacement(fleet: TestFleet): Promise<void> {
  const coversAllLayers = (place: readonly [number, number][]) =>
    place.reduce((sum, [from, to]) => sum + to - from, 0) === LAYERS;
  await until("each data centre holds all layers", () => {
    const ranges = fleet.engines.map((engine) => engine.getRange());
    return coversAllLayers(ranges.slice(0, 2).map(([a, b]) => [a, b])) &&
      coversAllLayers(ranges.slice(2, 4).map(([a, b]) => [a, b]));
  });
  // The gateways learn the ranges from the engines' next heartbeats.
  await sleep(600);
}

/** Adds two engines to each data centre; four engines can then start a stream. */
export async function addEnginesPerPlace(fleet: TestFleet): Promise<void> {
  for (const place of ["p1", "p1", "p2", "p2"]) await fleet.addEngine(place);
  const listFirstEngines = () =>
    fleet.engines.filter((engine) => {
      const [from, to] = engine.getRange();
      return from === 0 && to > 0;
    });
  await until(
    "four engines can start a stream",
    () => listFirstEngines().length >= 4,
  );
}

/** Starts a fleet with a configuration and waits until it serves. */
export async function startServingFleet(
  options: Parameters<typeof startTestFleet>[0] = {},
): Promise<TestFleet> {
  const fleet = await startTestFleet(options);
  await until(
    "a configuration is accepted",
    async () => await fleet.put(makeWireConfig(1)) === 200,
  );
  await fleet.waitForVersion(1);
  await waitForPlacement(fleet);
  return fleet;
}
