/**
 * What the programs of a fleet cost: processor time of a start, of an idle
 * second, of a stream, and in which modules a gateway and the leader spend it.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { build } from "esbuild";
import { mkdir, mkdtemp, readdir, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { Agent, request } from "undici";
import { type LayerEngine, startLayerEngine } from "../standins/index.ts";
import { printTable, type TableRow } from "./print_table.ts";
import { readProcessorMs, readResidentMb } from "./process_meter.ts";
import { sumProfile } from "./sum_profile.ts";

/** Gateways of the fleet; the first takes all streams and is measured. */
const GATEWAYS = 6;
const CONTROLS = 3;
const ENGINES = 87;
const PLACES = ["p1", "p2", "p3"];

/** Streams a second at the measured gateway: one of 78 before 179 a second. */
const STREAMS_PER_S = 2.3;
const EVENTS = 45;
const EVENT_INTERVAL_MS = 53;

/** Ms of the measured spans. */
const IDLE_MS = 10_000;
const LOAD_MS = 20_000;

const PORT = { caller: 7_400, control: 7_401, ready: 7_402, peer: 7_403 };

/** The program of the platform; its bundle is profiled, as it is what runs. */
const PROGRAM = fileURLToPath(
  new URL("../../platform/main.ts", import.meta.url),
);

const CONFIG = {
  version: 1,
  routes: [{
    name: "stream",
    host: "a.example",
    pathPrefix: "/stream/",
    routeType: "stream",
    resumable: true,
    maxAttempts: 2,
    service: "model",
    timeoutMs: 20_000,
    targetLatencyMs: 500,
    targetGapMs: 250,
    priority: 1,
    anonymous: false,
  }],
  services: [{
    name: "model",
    maxConns: 1_000,
    engine: {
      slots: 134,
      kvTokenBytes: 1_000,
      models: [{ name: "m", loadS: 0.2 }],
      step_ms: 1,
      read_per_s: 100_000,
      loads_at_once: 60,
      usual: { prompt: 700, answer: 200 },
      layers: 80,
      layerMb: 1_750,
      kinds: [
        { name: "fast", mb: 72_000, pace: 2.4, readX: 3.2 },
        { name: "middle", mb: 43_000, pace: 5.6, readX: 2.7 },
        { name: "slow", mb: 22_000, pace: 16, readX: 8.2 },
      ],
    },
  }],
  limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536 },
  tenants: [{ name: "one", apiKeys: ["key-1"], priority: 1 }],
};

interface MeasuredProcess {
  readonly name: string;
  readonly child: ChildProcess;
  /** Processor time, in ms, and memory once it had started. */
  startMs: number;
  startMb: number;
}

/** Lines of the bundle name the modules that they come from. */
const BUNDLE = "bundle.cjs";

async function writeBundle(folder: string): Promise<void> {
  await build({
    entryPoints: [PROGRAM],
    outfile: join(folder, BUNDLE),
    bundle: true,
    platform: "node",
    mainFields: ["module", "main"],
    target: "node20",
    format: "cjs",
    footer: { js: "void module.exports.main(process.argv[2]);" },
    logLevel: "warning",
  });
}

const controlIp = (at: number) => `127.0.2.${at + 1}`;
const gatewayIp = (at: number) => `127.0.1.${at + 1}`;

async function spawnProgram(
  role: "entry" | "control",
  options: { at: number; folder: string; isProfiled: boolean },
): Promise<MeasuredProcess> {
  const { at, folder, isProfiled } = options;
  const name = `${role}-${at}`;
  const home = join(folder, name);
  await mkdir(join(home, "data"), { recursive: true });
  const ip = role === "entry" ? gatewayIp(at) : controlIp(at);
  const listen = role === "entry"
    ? { front: `${ip}:${PORT.caller}`, ready: `${ip}:${PORT.ready}` }
    : { control: `${ip}:${PORT.control}` };
  const settings = join(home, "settings.jsonc");
  await writeFile(
    settings,
    JSON.stringify({
      nodeId: name,
      zone: PLACES[at % PLACES.length],
      ip,
      listen,
      internalPorts: [PORT.peer],
      seeds: Array.from(
        { length: CONTROLS },
        (_, seed) => `${controlIp(seed)}:${PORT.control}`,
      ),
      bootstrap: true,
      dataDir: role === "control" ? join(home, "data") : "",
      bounds: { graceS: 1 },
    }),
  );
  const child = spawn(process.execPath, [
    "--max-semi-space-size=4",
    ...(isProfiled
      ? [
        "--cpu-prof",
        "--cpu-prof-interval=500",
        `--cpu-prof-dir=${join(home, "profile")}`,
      ]
      : []),
    join(folder, BUNDLE),
    role,
  ], {
    env: { ...process.env, CROWLEVER_SETTINGS: settings },
    stdio: ["ignore", "ignore", "inherit"],
  });
  return { name, child, startMs: 0, startMb: 0 };
}

async function putConfig(): Promise<void> {
  for (let tries = 0; tries < 100; tries++) {
    try {
      const answer = await request(
        `http://${controlIp(0)}:${PORT.control}/api/config/put`,
        { method: "POST", body: JSON.stringify(CONFIG) },
      );
      await answer.body.dump();
      if (answer.statusCode === 200) return;
    } catch {
      // The control process has not started yet.
    }
    await sleep(200);
  }
  throw new Error("No control process took the configuration");
}

function startEngines(): Promise<LayerEngine[]> {
  const controlAddresses = Array.from(
    { length: CONTROLS },
    (_, at) => `${controlIp(at)}:${PORT.control}`,
  );
  return Promise.all(
    Array.from({ length: ENGINES }, (_, at) =>
      startLayerEngine({
        service: "model",
        place: PLACES[at % PLACES.length],
        controlAddresses,
        card: at % 10 === 0 ? "fast" : at % 3 === 0 ? "middle" : "slow",
        beatIntervalMs: 1_200,
        eventIntervalMs: EVENT_INTERVAL_MS,
        events: EVENTS,
      })),
  );
}

async function sendStream(agent: Agent, count: number): Promise<boolean> {
  const answer = await request(
    `http://${gatewayIp(0)}:${PORT.caller}/stream/${count}`,
    {
      dispatcher: agent,
      method: "POST",
      headers: {
        host: "a.example",
        "x-attempt-id": `r-${count}`,
        "x-deadline-ms": "20000",
        "x-token-usage": "760,230",
        "x-api-key": "key-1",
      },
      body: "x".repeat(800),
    },
  );
  const text = await answer.body.text();
  return answer.statusCode === 200 && text.includes(`id: ${EVENTS}\n`);
}

/** Sends streams at an even rate; gives how many came whole. */
async function runStreams(): Promise<{ sent: number; whole: number }> {
  await using agent = {
    agent: new Agent({ connections: 200 }),
    [Symbol.asyncDispose]() {
      return this.agent.destroy();
    },
  };
  const running: Promise<boolean>[] = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < LOAD_MS) {
    const stream = sendStream(agent.agent, running.length)
      .catch(() => false);
    running.push(stream);
    await sleep(1_000 / STREAMS_PER_S);
  }
  const results = await Promise.all(running);
  return { sent: results.length, whole: results.filter(Boolean).length };
}

async function meter(
  processes: readonly MeasuredProcess[],
  work: () => Promise<unknown>,
): Promise<number[]> {
  const read = (one: MeasuredProcess) => readProcessorMs(one.child.pid ?? 0);
  const before = await Promise.all(processes.map(read));
  await work();
  const after = await Promise.all(processes.map(read));
  return after.map((ms, at) => ms - before[at]);
}

async function stopProcess({ child }: MeasuredProcess): Promise<void> {
  const ended = new Promise((resolve) => child.once("exit", resolve));
  child.kill("SIGTERM");
  await ended;
}

/**
 * Measures what programs cost: first as they run, then profiled, which takes
 * time of its own.
 */
export async function measureProfile(): Promise<void> {
  await measureFleet({ isProfiled: false });
  await measureFleet({ isProfiled: true });
}

async function measureFleet(
  { isProfiled }: { isProfiled: boolean },
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "profile-"));
  await writeBundle(folder);
  const controls = await Promise.all(
    Array.from(
      { length: CONTROLS },
      (_, at) => spawnProgram("control", { at, folder, isProfiled }),
    ),
  );
  const gateways = await Promise.all(
    Array.from(
      { length: GATEWAYS },
      (_, at) => spawnProgram("entry", { at, folder, isProfiled }),
    ),
  );
  const processes = [...controls, ...gateways];
  await putConfig();
  const engines = await startEngines();
  await sleep(8_000);
  for (const one of processes) {
    one.startMs = await readProcessorMs(one.child.pid ?? 0);
    one.startMb = await readResidentMb(one.child.pid ?? 0);
  }
  const idle = await meter(processes, () => sleep(IDLE_MS));
  let streams = { sent: 0, whole: 0 };
  const loaded = await meter(processes, async () => {
    streams = await runStreams();
  });
  const endMb = await Promise.all(
    processes.map((one) => readResidentMb(one.child.pid ?? 0)),
  );
  const rows: TableRow[] = processes.map((one, at) => ({
    process: one.name,
    "start and 8 s, ms": one.startMs,
    "idle ms/s": (idle[at] / (IDLE_MS / 1_000)).toFixed(1),
    "loaded ms": loaded[at],
    MB: one.startMb.toFixed(0),
    "MB after": endMb[at].toFixed(0),
  }));
  process.stdout.write(`${streams.whole} of ${streams.sent} streams whole\n`);
  printTable(rows);
  await Promise.all(processes.map(stopProcess));
  await Promise.all(engines.map((one) => one[Symbol.asyncDispose]()));
  const profiled = isProfiled ? ["control-0", "entry-0"] : [];
  for (const name of profiled) {
    const [file] = await readdir(join(folder, name, "profile"));
    process.stdout.write(`\n${name}\n`);
    printTable(
      await sumProfile(join(folder, name, "profile", file), {
        bundleFile: join(folder, BUNDLE),
      }),
    );
  }
  await rm(folder, { recursive: true, force: true });
}
