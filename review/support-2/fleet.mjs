// A small deployment on loopback addresses: the project's own programs, started with the
// commands of the deploy file, and stand-ins for engines, the operator and clients.
import { spawn } from "node:child_process";
import { appendFileSync, mkdirSync, rmSync, writeFileSync } from "node:fs";
import { mkdtempSync, readFileSync } from "node:fs";
import http from "node:http";
import net from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
/** Exit code of a case that has seen its rule broken; an error never ends with it. */
export const BROKEN = 10;
export const withTrouble = process.env.TROUBLE !== "0";
const repository = new URL("../../", import.meta.url).pathname;
const startedMs = performance.now();
export const elapsedMs = () => Math.round(performance.now() - startedMs);

let recordFile;
export function openRecord(file) {
  recordFile = file;
  writeFileSync(file, "");
}
export function record(text) {
  appendFileSync(
    recordFile,
    `${String(elapsedMs()).padStart(6)} ms  ${text}\n`,
  );
}

const folder = mkdtempSync(join(tmpdir(), "crowlever-review-"));
const children = new Set();
// A case that fails itself has not shown anything.
for (const event of ["uncaughtException", "unhandledRejection"]) {
  process.on(event, (error) => {
    console.error(error);
    process.exit(2);
  });
}
for (const signal of ["SIGTERM", "SIGINT"]) {
  process.on(signal, () => process.exit(2));
}
process.on("exit", () => {
  for (const child of children) child.kill("SIGKILL");
  rmSync(folder, { recursive: true, force: true });
});

// Every case takes a part of the loopback range at random; no other process listens there.
const part = `127.${1 + Math.floor(Math.random() * 250)}.${
  Math.floor(Math.random() * 250)
}`;
let lastHost = 1;
export const takeHost = () => `${part}.${++lastHost}`;

const PORTS = { front: 8227, ready: 8220, control: 8229, directory: 8224 };
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  revokeStrict: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetExtra: 206,
  recoverS: 12,
  passMs: 120,
  retryAfterS: 0,
  stall_ms: 2000,
  fencingRequired: false,
  ttl_max_s: 5,
};

function readCommands() {
  const text = readFileSync(join(repository, "deploy/system.toml"), "utf8");
  const commands = {};
  let role;
  for (const line of text.split("\n")) {
    role = /^\[roles\.(.+)\]/.exec(line)?.[1] ?? role;
    const run = /^run = "(.*)"/.exec(line)?.[1];
    if (run) commands[role] = run.split(" ");
  }
  return commands;
}
const commands = readCommands();

/** Describes machines: those with a disk serve control, all of them are gateways. */
export function planMachines(
  { core = 3, others = 0, zones = ["z-a", "z-b", "z-c"] },
) {
  return Array.from({ length: core + others }, (_, at) => ({
    name: `front-${at + 1}`,
    ip: takeHost(),
    zone: zones[at % zones.length],
    hasDisk: at < core,
    processes: {},
  }));
}

function writeSettings(machine, role, { seeds, bootstrap, bounds = {} }) {
  const { ip, name, zone, hasDisk } = machine;
  const serves = role === "control" ? ["control"] : ["front", "directory"];
  const dataDir = hasDisk ? join(folder, name, role) : "";
  if (hasDisk) mkdirSync(dataDir, { recursive: true });
  const listen = role === "control" ? { control: `${ip}:${PORTS.control}` } : {
    front: `${ip}:${PORTS.front}`,
    ready: `${ip}:${PORTS.ready}`,
    directory: `${ip}:${PORTS.directory}`,
  };
  const settings = {
    nodeId: name,
    role,
    machineClass: "front",
    serves,
    ip,
    zone,
    region: "region-1",
    internalPorts: [7340, 7355],
    seeds,
    bootstrap,
    faultCounted: hasDisk,
    dataDir,
    discovery: "registration",
    entryMode: "directory",
    heartbeatMs: 1200,
    contracts: [
      "base",
      "drain",
      "config",
      "cost",
      "retry",
      "recover",
      "engine",
      "stream",
      "tenants",
      "layers",
    ],
    configMode: "highest",
    zones: { "z-a": "region-1", "z-b": "region-1", "z-c": "region-1" },
    listen,
    limits: {
      cpuShare: 0.608,
      cores: 2,
      memoryMb: 350,
      maxFds: 4100,
      linkMbps: 1000,
      diskMb: hasDisk ? 64 : 0,
    },
    faultTolerance: { machines: 1, zones: 0, regions: 0 },
    bounds: { ...BOUNDS, ...bounds },
  };
  const file = join(folder, `${name}-${role}.json`);
  writeFileSync(file, `${JSON.stringify(settings, null, 2)}\n`);
  return file;
}

export function startProcess(machine, role, options) {
  const file = writeSettings(machine, role, options);
  const [program, ...words] = commands[role].map((word) =>
    word.replace("{{listen.front}}", `${machine.ip}:${PORTS.front}`)
  );
  const child = spawn(program, words, {
    cwd: repository,
    env: {
      PATH: process.env.PATH,
      HOME: folder,
      LANG: "C.UTF-8",
      CROWLEVER_SETTINGS: file,
    },
    stdio: ["ignore", "pipe", "pipe"],
  });
  children.add(child);
  const lines = [];
  machine.logs = { ...machine.logs, [role]: lines };
  const keep = (chunk) => {
    lines.push(chunk.toString());
  };
  child.stdout.on("data", keep);
  child.stderr.on("data", keep);
  child.on("exit", (code, signal) => {
    children.delete(child);
    child.ended = { code, signal };
    record(
      `${machine.name}: ${role} has ended, code ${code}, signal ${signal}`,
    );
  });
  record(`${machine.name}: ${role} started`);
  machine.processes[role] = child;
  return child;
}

export function startFleet(machines, options = {}) {
  const seeds = machines.filter(({ hasDisk }) => hasDisk)
    .slice(0, 3).map(({ ip }) => `${ip}:${PORTS.control}`);
  for (const machine of machines) {
    if (machine.hasDisk) {
      startProcess(machine, "control", { seeds, bootstrap: true, ...options });
    }
    startProcess(machine, "entry", { seeds, bootstrap: true, ...options });
  }
  return { seeds, machines };
}

export async function stopAll() {
  for (const child of children) child.kill("SIGKILL");
  await sleep(100);
}

/** One HTTP call with a connection of its own; resolves with what the caller saw. */
export function call(
  {
    host,
    port,
    method = "GET",
    path,
    headers = {},
    body,
    timeoutMs = 30_000,
    agent,
  },
) {
  return new Promise((resolve) => {
    const request = http.request({
      host,
      port,
      method,
      path,
      headers,
      agent: agent ?? false,
    }, (response) => {
      const chunks = [];
      response.on("data", (chunk) => chunks.push(chunk));
      response.on("error", () => {});
      response.on("close", () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
          isWhole: response.complete,
        }));
    });
    const timer = setTimeout(
      () => request.destroy(new Error("timed out")),
      timeoutMs,
    );
    let isDone = false;
    function finish(result) {
      if (isDone) return;
      isDone = true;
      clearTimeout(timer);
      resolve(result);
    }
    request.on(
      "error",
      (error) => finish({ status: 0, error: error.message, isWhole: false }),
    );
    request.end(body);
  });
}

export async function callControl(machines, options, { tries = 40 } = {}) {
  let last;
  for (let at = 0; at < tries; at++) {
    const { ip } = machines[at % machines.length];
    last = await call({
      host: ip,
      port: PORTS.control,
      timeoutMs: 1_000,
      ...options,
    });
    if (
      last.status === 200 ||
      (last.status >= 400 && last.status < 500 && last.status !== 408)
    ) return last;
    await sleep(150);
  }
  return last;
}

export async function putConfig(machines, config) {
  const answer = await callControl(machines, {
    method: "POST",
    path: "/api/config/put",
    headers: { "content-type": "application/json" },
    body: JSON.stringify(config),
  });
  record(`operator: version ${config.version} sent, answer ${answer.status}`);
  return answer;
}

export function makeConfig({ version = 1, routes, services, tenants, limits }) {
  return {
    version,
    routes: routes.map((route) => ({
      maxAttempts: 2,
      anonymous: false,
      priority: 1,
      targetLatencyMs: 300,
      timeoutMs: 20_000,
      host: "review.example",
      ...route,
    })),
    services: services.map((name) =>
      typeof name === "string"
        ? {
          name,
          healthPath: "/health",
          maxConns: 130,
          protocol: "h1",
          tls: false,
        }
        : name
    ),
    limits: limits ?? {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    ...(tenants ? { tenants } : {}),
  };
}

/** Waits until every gateway is ready. */
export async function waitReady(machines, timeoutMs = 20_000) {
  const untilMs = performance.now() + timeoutMs;
  for (const { ip } of machines) {
    for (;;) {
      const { status } = await call({
        host: ip,
        port: PORTS.ready,
        path: "/api/readiness",
        timeoutMs: 1_000,
      });
      if (status === 200) break;
      if (performance.now() > untilMs) throw new Error(`${ip} is not ready`);
      await sleep(100);
    }
  }
}

let lastId = 0;
export const makeId = () => (++lastId).toString(16).padStart(16, "0");
export const front = (machine) => ({ host: machine.ip, port: PORTS.front });
export const control = (machine) => ({ host: machine.ip, port: PORTS.control });

/** A plain engine that serves with `serve(request, response, body)` and sends heartbeats. */
export class Engine {
  constructor(
    { service, serve, machines, id, slots = 6, zone = "z-a", host, port },
  ) {
    Object.assign(this, { service, machines, slots, zone, port });
    this.id = id ?? `i-${makeId()}`;
    this.host = host ?? takeHost();
    this.serve = serve;
    this.state = "ready";
    this.seq = 0;
    this.runs = [];
  }
  async start() {
    this.server = http.createServer((request, response) =>
      this.#handle(request, response)
    );
    this.server.keepAliveTimeout = 15_000;
    await new Promise((resolve) =>
      this.server.listen(this.port ?? 8080, this.host, resolve)
    );
    this.address = `${this.host}:${this.port ?? 8080}`;
    await this.beat();
    this.timer = setInterval(() => void this.beat(), 1_200);
    return this;
  }
  async beat(fields = {}) {
    const body = JSON.stringify({
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: "v1",
      slots: this.slots,
      state: this.state,
      coldLeftMs: 0,
      seq: ++this.seq,
      ...fields,
    });
    return await callControl(this.machines, {
      method: "POST",
      path: `/api/instances/${this.id}/heartbeat`,
      headers: { "content-type": "application/json" },
      body,
    }, { tries: 3 });
  }
  #handle(request, response) {
    const id = request.headers["x-attempt-id"] ?? "";
    if (request.url === "/api/report") return response.end("{}");
    if (request.url === "/health") {
      response.writeHead(200, { "x-instance-id": this.id });
      return response.end();
    }
    if (id === "") {
      response.writeHead(400, { "x-not-executed": "1" });
      return response.end();
    }
    const expected = request.headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      record(`engine ${this.id}: 421 to ${id}`);
      response.writeHead(421, { "x-not-executed": "1", "x-attempt-id": id });
      return response.end();
    }
    const chunks = [];
    request.on("data", (chunk) => chunks.push(chunk));
    request.on("end", () => {
      this.runs.push(id);
      record(`engine ${this.id}: runs ${id}`);
      this.serve(request, response, Buffer.concat(chunks));
    });
  }
  answer(request, response, body, headers = {}) {
    response.writeHead(200, {
      "x-attempt-id": request.headers["x-attempt-id"],
      "x-server-seal": `seal.${body.length}`,
      "content-length": body.length,
      ...(this.state === "draining" ? { "server-leaving": "1" } : {}),
      ...headers,
    });
    response.end(body);
  }
  stop() {
    clearInterval(this.timer);
    this.server?.closeAllConnections();
    this.server?.close();
  }
}

/** A connection between two ends that passes on at most `bytesPerS` toward the client. */
export async function startLink({ host, port, bytesPerS = Infinity }) {
  const server = net.createServer({ highWaterMark: 16_384 }, (client) => {
    const upstream = net.connect({ host, port });
    upstream.on("error", () => client.destroy());
    client.on("error", () => upstream.destroy());
    client.on("data", (chunk) => upstream.write(chunk));
    client.on("end", () => upstream.end());
    upstream.on("data", async (chunk) => {
      client.write(chunk);
      if (bytesPerS === Infinity) return;
      upstream.pause();
      await sleep(chunk.length / bytesPerS * 1_000);
      upstream.resume();
    });
    upstream.on("end", () => client.end());
    upstream.on("close", () => client.end());
  });
  const address = takeHost();
  await new Promise((resolve) => server.listen(8300, address, resolve));
  return { host: address, port: 8300, close: () => server.close() };
}

/**
 * Starts an engine as a process of its own, or under a supervisor; resolves once it is
 * registered.
 */
export async function startEngineProcess(
  { machines, isSupervised = false, ...fields },
) {
  const host = takeHost();
  const id = `i-${makeId()}`;
  const engine = {
    id,
    host,
    port: 8080,
    zone: "z-a",
    slots: 6,
    controls: machines.filter(({ hasDisk }) => hasDisk)
      .map(({ ip }) => `${ip}:${PORTS.control}`),
    isFramed: true,
    pieces: 10,
    gapMs: 100,
    ...fields,
  };
  const child = spawn(process.execPath, [
    join(
      repository,
      "review/support-2",
      isSupervised ? "supervised_engine.mjs" : "engine_process.mjs",
    ),
  ], {
    env: { PATH: process.env.PATH, ENGINE: JSON.stringify(engine) },
    stdio: ["ignore", "pipe", "inherit"],
  });
  children.add(child);
  child.on("exit", () => children.delete(child));
  const runs = [];
  const started = { id, runs, process: child, workerPid: undefined };
  await new Promise((resolve) => {
    child.stdout.on("data", (chunk) => {
      for (const line of chunk.toString().split("\n")) {
        if (line === "registered") resolve();
        const worker = /^worker (\d+) is (.*)/.exec(line);
        if (worker) {
          started.workerPid = Number(worker[1]);
          record(`engine ${worker[2]}: its worker has started`);
        }
        if (!line.startsWith("run ")) continue;
        runs.push(line.slice(4));
        record(`engine ${id}: begins ${line.slice(4)}`);
      }
    });
  });
  record(`engine ${id} of ${fields.service} registered at ${host}:8080`);
  return started;
}
