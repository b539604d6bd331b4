/**
 * Runs the two programs of the platform in a small fleet on loopback addresses
 * until they have served some calls, so that their code caches hold what a start
 * and a call need.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { request as sendRequest } from "node:http";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { startLayerEngine } from "../standins/start_layer_engine.ts";

/**
 * Flags of each role as deploy/system.toml starts it: a code cache fits only a
 * runtime with the flags under which it was made.
 */
const FLAGS = readFlags(readFileSync("deploy/system.toml", "utf8"));

function readFlags(text: string): Readonly<Record<string, string[]>> {
  const runs = text.matchAll(/^run = "node (.*) target\/\S+ (\w+)/gm);
  return Object.fromEntries(
    [...runs].map(([, flags, role]) => [role, flags.split(" ")]),
  );
}

const CONTROL_IP = "127.0.77.1";
const GATEWAY_IP = "127.0.77.2";
const LAUNCHER = join(
  dirname(fileURLToPath(`file://${__filename}`)),
  "crowlever.cjs",
);

/** Calls of each kind; a function is compiled when it is first called. */
const CALLS = 20;

/** Ms for the fleet to take its configuration and to hold its layers. */
const SETTLE_LIMIT_MS = 20_000;

/** Ms for the news of the last engine's layers to reach the gateway. */
const NEWS_MS = 1_500;

const MODEL = {
  slots: 8,
  kvTokenBytes: 1_000,
  models: [{ name: "m", loadS: 0.2 }],
  step_ms: 1,
  read_per_s: 100_000,
  loads_at_once: 6,
  usual: { prompt: 20, answer: 20 },
  layers: 8,
  layerMb: 100,
  kinds: [{ name: "card", mb: 500, pace: 1, readX: 1 }],
};

const ROUTE = {
  host: "a.example",
  timeoutMs: 5_000,
  targetLatencyMs: 500,
  priority: 1,
  anonymous: false,
};

const CONFIG = {
  version: 1,
  routes: [
    {
      ...ROUTE,
      name: "stream",
      pathPrefix: "/stream/",
      routeType: "stream",
      resumable: true,
      maxAttempts: 2,
      service: "model",
    },
    {
      ...ROUTE,
      name: "plain",
      pathPrefix: "/plain/",
      routeType: "safe",
      maxAttempts: 2,
      service: "plain",
    },
  ],
  services: [
    { name: "model", maxConns: 100, engine: MODEL },
    { name: "plain", maxConns: 100 },
  ],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536 },
  tenants: [{ name: "one", apiKeys: ["key-1"], priority: 1 }],
};

function findFreePort(): Promise<number> {
  return new Promise((resolve, reject) => {
    const server = createServer();
    server.on("error", reject);
    server.listen(0, GATEWAY_IP, () => {
      const address = server.address();
      const port = typeof address === "object" ? address?.port ?? 0 : 0;
      server.close(() => resolve(port));
    });
  });
}

function call(
  address: string,
  options: { path: string; headers?: Record<string, string>; body?: string },
): Promise<number> {
  const { path, headers, body } = options;
  return new Promise((resolve) => {
    const sent = sendRequest(`http://${address}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers,
    }, (answer) => {
      answer.resume();
      answer.on("close", () => resolve(answer.statusCode ?? 0));
    });
    sent.on("error", () => resolve(0));
    sent.end(body);
  });
}

async function untilTrue(
  what: string,
  check: () => Promise<boolean> | boolean,
): Promise<void> {
  const untilMs = performance.now() + SETTLE_LIMIT_MS;
  while (!await check()) {
    if (performance.now() > untilMs) throw new Error(`Not in time: ${what}`);
    await sleep(50);
  }
}

async function warmUp(folder: string): Promise<void> {
  const [front, ready, directory, control, peer] = await Promise.all(
    Array.from({ length: 5 }, findFreePort),
  );
  const controlAddress = `${CONTROL_IP}:${control}`;

  async function start(
    role: string,
    settings: { ip: string; listen: object; dataDir: string },
  ): Promise<ChildProcess> {
    const file = join(folder, `${role}.jsonc`);
    const common = {
      nodeId: role,
      zone: "p1",
      internalPorts: [peer],
      seeds: [controlAddress],
      bootstrap: true,
      faultTolerance: { machines: 0 },
      bounds: { graceS: 1 },
    };
    await writeFile(file, JSON.stringify({ ...common, ...settings }));
    return spawn(process.execPath, [...FLAGS[role], LAUNCHER, role], {
      env: { ...process.env, CREATE_CACHE: "1", CROWLEVER_SETTINGS: file },
      stdio: ["ignore", "ignore", "inherit"],
    });
  }

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
  const ended = programs.map((program) =>
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
    ...[0, 1, 2, 3].map(() => startEngine("model", "card")),
    startEngine("plain"),
  ]);
  try {
    await untilTrue(
      "a configuration is taken",
      async () =>
        await call(controlAddress, {
          path: "/api/config/put",
          headers: { "content-type": "application/json" },
          body: JSON.stringify(CONFIG),
        }) === 200,
    );
    await untilTrue(
      "engines hold layers",
      () => engines.slice(0, 4).every((engine) => engine.getRange()[1] > 0),
    );
    await sleep(NEWS_MS);
    for (let at = 0; at < CALLS; at++) {
      const headers = {
        host: ROUTE.host,
        "x-attempt-id": `call-${at}`,
        "x-deadline-ms": "5000",
        "x-token-usage": "20,20",
        "x-api-key": "key-1",
      };
      const body = "warm";
      const entry = `${GATEWAY_IP}:${front}`;
      await call(entry, { path: "/stream/1", headers, body });
      await call(entry, { path: "/plain/1", headers, body });
      await call(`${GATEWAY_IP}:${ready}`, { path: "/api/readiness" });
      await call(`${GATEWAY_IP}:${directory}`, {
        path: `/api/resolution?name=${ROUTE.host}&region=r&zone=p1`,
      });
    }
  } finally {
    for (const program of programs) program.kill("SIGTERM");
    await Promise.all(ended);
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
