/**
 * Creates the code caches of the two programs: runs both in a small fleet on loopback
 * addresses until they have served some calls, so that the caches hold the functions
 * that a start and a call need.
 *
 * @module
 */

import type { ChildProcess } from "node:child_process";
import { mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { findFreePorts } from "../demo/find_free_ports.ts";
import { until } from "../demo/until.ts";
import { CALL, HEADER } from "../platform/names.ts";
import { makeWireConfig } from "../standins/make_wire_config.ts";
import { startLayerEngine } from "../standins/start_layer_engine.ts";
import { spawnProgram } from "./spawn_program.ts";

const CONTROL_IP = "127.0.77.1";
const GATEWAY_IP = "127.0.77.2";
const LAUNCHER = join(
  dirname(fileURLToPath(`file://${__filename}`)),
  "crowlever.cjs",
);

/** Number of calls of each kind; V8 compiles a function when it is first called. */
const CALLS_PER_KIND = 20;

/** Time for the update with the last engine's layers to reach the gateway. */
const PROPAGATION_MS = 1_500;

/** Number of engines that share the model's layers. */
const MODEL_ENGINES = 4;

/** Sends a request and returns the status of the response. */
async function send(
  address: string,
  options: { path: string; headers?: Record<string, string>; body?: string },
): Promise<number> {
  const { path, headers, body } = options;
  const answer = await request(`http://${address}${path}`, {
    method: body === undefined ? "GET" : "POST",
    headers,
    body,
  });
  await answer.body.dump();
  return answer.statusCode;
}

async function warmUp(folder: string): Promise<void> {
  const [front, ready, directory, control, peer] = await findFreePorts(5);
  const controlAddress = `${CONTROL_IP}:${control}`;

  const start = (role: string, roleSettings: object): Promise<ChildProcess> =>
    spawnProgram(role, {
      file: LAUNCHER,
      folder,
      settings: {
        nodeId: role,
        zone: "p1",
        internalPorts: [peer],
        seeds: [controlAddress],
        bootstrap: true,
        faultTolerance: { machines: 0 },
        bounds: { graceS: 1 },
        ...roleSettings,
      },
      variables: { CREATE_CACHE: "1" },
    });

  const programs = [
    await start("control", {
      ip: CONTROL_IP,
      listen: { control: controlAddress },
      dataDir: folder,
    }),
    await start("entry", {
      ip: GATEWAY_IP,
      listen: {
        front: `${GATEWAY_IP}:${front}`,
        ready: `${GATEWAY_IP}:${ready}`,
        directory: `${GATEWAY_IP}:${directory}`,
      },
      dataDir: "",
    }),
  ];
  const exits = programs.map((program) =>
    new Promise((resolve) => program.once("exit", resolve))
  );
  const startEngine = (service: string, card?: string) =>
    startLayerEngine({
      service,
      card,
      place: "p1",
      controlAddresses: [controlAddress],
    });
  const engines = await Promise.all([
    ...Array.from(
      { length: MODEL_ENGINES },
      () => startEngine("model", "card"),
    ),
    startEngine("plain"),
  ]);
  const modelEngines = engines.slice(0, MODEL_ENGINES);
  try {
    const document = JSON.stringify(makeWireConfig(1));
    await until(
      "the configuration is accepted",
      async () =>
        await send(controlAddress, {
          path: CALL.putConfig,
          headers: { "content-type": "application/json" },
          body: document,
        }) === 200,
    );
    await until(
      "all model engines hold layers",
      () => modelEngines.every((engine) => engine.getRange()[1] > 0),
    );
    await sleep(PROPAGATION_MS);
    for (let index = 0; index < CALLS_PER_KIND; index++) {
      const headers = {
        host: "a.example",
        [HEADER.requestId]: `call-${index}`,
        [HEADER.deadlineMs]: "5000",
        [HEADER.tokens]: "20,20",
        [HEADER.key]: "key-1",
      };
      const body = "warm";
      const entry = `${GATEWAY_IP}:${front}`;
      await send(entry, { path: "/stream/1", headers, body });
      await send(entry, { path: "/safe/1", headers, body });
      await send(`${GATEWAY_IP}:${ready}`, { path: CALL.readiness });
      await send(`${GATEWAY_IP}:${directory}`, {
        path: `${CALL.directory}?name=a.example&region=r&zone=p1`,
      });
    }
  } finally {
    for (const program of programs) program.kill("SIGTERM");
    await Promise.all(exits);
    await Promise.all(engines.map((engine) => engine[Symbol.asyncDispose]()));
  }
}

async function main(): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "warm-"));
  try {
    await warmUp(folder);
  } finally {
    await rm(folder, { recursive: true, force: true });
  }
}

main().catch((error) => {
  process.stderr.write(`${error}\n`);
  process.exitCode = 1;
});
