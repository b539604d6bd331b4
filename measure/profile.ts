/**
 * Resource usage of the programs of a fleet: processor time at start, when idle
 * and under a load of streams, memory, and CPU profiles by module of a gateway and
 * a control process.
 *
 * @module
 */

import { type ChildProcess, execFileSync } from "node:child_process";
import { mkdir, mkdtemp, readdir, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent, request } from "undici";
import { until } from "../demo/until.ts";
import { CALL, HEADER } from "../platform/names.ts";
import { spawnProgram } from "../scripts/spawn_program.ts";
import { type LayerEngine, startLayerEngine } from "../standins/index.ts";
import { printTable, type TableRow } from "./print_table.ts";
import { readCpuTimeMs, readResidentMb } from "./process_meter.ts";
import { sumProfile } from "./sum_profile.ts";

/** Number of gateways; the first receives all streams and is profiled. */
const GATEWAY_COUNT = 4;
const CONTROL_COUNT = 3;
const ENGINE_COUNT = 87;
const PLACES = ["p1", "p2", "p3"];

/** Streams per second at the first gateway: its share of 179 over 78 gateways. */
const STREAMS_PER_S = 2.3;
const EVENTS_PER_STREAM = 45;
const EVENT_INTERVAL_MS = 53;

/** Time for started engines to load their layers and report them, in ms. */
const SETTLE_MS = 8_000;

/** Durations of the measured idle and load phases, in ms. */
const IDLE_DURATION_MS = 10_000;
const LOAD_DURATION_MS = 20_000;

const PORT = { caller: 7_400, control: 7_401, ready: 7_402, peer: 7_403 };

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
}

/** Launcher script that the platform runs. */
const LAUNCHER = "target/crowlever.cjs";

/** Bundle that is not minified and has comments that name the modules. */
const READABLE_BUNDLE = "bundle.cjs";

const controlIp = (at: number) => `127.0.2.${at + 1}`;
const gatewayIp = (at: number) => `127.0.1.${at + 1}`;
const CONTROL_ADDRESSES = Array.from(
  { length: CONTROL_COUNT },
  (_, at) => `${controlIp(at)}:${PORT.control}`,
);

async function startProgram(
  role: "entry" | "control",
  options: { at: number; folder: string; isProfiled: boolean },
): Promise<MeasuredProcess> {
  const { at, folder, isProfiled } = options;
  const name = `${role}-${at}`;
  const processFolder = join(folder, name);
  await mkdir(processFolder);
  const ip = role === "entry" ? gatewayIp(at) : controlIp(at);
  const front = `${ip}:${PORT.caller}`;
  const child = await spawnProgram(role, {
    file: isProfiled ? join(folder, "..", READABLE_BUNDLE) : LAUNCHER,
    folder: processFolder,
    settings: {
      nodeId: name,
      zone: PLACES[at % PLACES.length],
      ip,
      listen: role === "entry"
        ? { front, ready: `${ip}:${PORT.ready}` }
        : { control: CONTROL_ADDRESSES[at] },
      internalPorts: [PORT.peer],
      seeds: CONTROL_ADDRESSES,
      bootstrap: true,
      dataDir: role === "control" ? processFolder : "",
      bounds: { graceS: 1 },
    },
    flags: isProfiled
      ? [
        "--cpu-prof",
        "--cpu-prof-interval=500",
        `--cpu-prof-dir=${join(processFolder, "profile")}`,
      ]
      : [],
    args: role === "entry" && !isProfiled ? [front] : [],
  });
  return { name, child };
}

async function putConfig(): Promise<boolean> {
  const answer = await request(
    `http://${CONTROL_ADDRESSES[0]}${CALL.putConfig}`,
    { method: "POST", body: JSON.stringify(CONFIG) },
  );
  await answer.body.dump();
  return answer.statusCode === 200;
}

function startEngines(): Promise<LayerEngine[]> {
  return Promise.all(
    Array.from({ length: ENGINE_COUNT }, (_, at) =>
      startLayerEngine({
        service: "model",
        place: PLACES[at % PLACES.length],
        controlAddresses: CONTROL_ADDRESSES,
        card: at % 10 === 0 ? "fast" : at % 3 === 0 ? "middle" : "slow",
        heartbeatPeriodMs: 1_200,
        eventIntervalMs: EVENT_INTERVAL_MS,
        events: EVENTS_PER_STREAM,
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
        [HEADER.requestId]: `r-${count}`,
        [HEADER.deadlineMs]: "20000",
        [HEADER.tokens]: "760,230",
        [HEADER.key]: "key-1",
      },
      body: "x".repeat(800),
    },
  );
  const text = await answer.body.text();
  return answer.statusCode === 200 &&
    text.includes(`id: ${EVENTS_PER_STREAM}\n`);
}

/** Sends streams at a constant rate and counts those received completely. */
async function runStreams(): Promise<{ sent: number; completed: number }> {
  const agent = new Agent({ connections: 200 });
  const running: Promise<boolean>[] = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < LOAD_DURATION_MS) {
    running.push(sendStream(agent, running.length).catch(() => false));
    await sleep(1_000 / STREAMS_PER_S);
  }
  const results = await Promise.all(running);
  await agent.destroy();
  return { sent: results.length, completed: results.filter(Boolean).length };
}

function readEach(
  processes: readonly MeasuredProcess[],
  read: (processId: number) => Promise<number>,
): Promise<number[]> {
  return Promise.all(processes.map(({ child }) => read(child.pid ?? 0)));
}

async function measureIncrease(
  processes: readonly MeasuredProcess[],
  work: () => Promise<unknown>,
): Promise<number[]> {
  const before = await readEach(processes, readCpuTimeMs);
  await work();
  const after = await readEach(processes, readCpuTimeMs);
  return after.map((ms, at) => ms - before[at]);
}

async function stopProcess({ child }: MeasuredProcess): Promise<void> {
  const ended = new Promise((resolve) => child.once("exit", resolve));
  child.kill("SIGTERM");
  await ended;
}

/**
 * Measures the resource usage of the programs twice: first as the platform runs
 * them, then with the CPU profiler, whose overhead distorts the figures.
 */
export async function measureProfile(): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), "profile-"));
  build([]);
  build(["--readable", join(folder, READABLE_BUNDLE)]);
  for (const isProfiled of [false, true]) {
    const runFolder = join(folder, isProfiled ? "profiled" : "metered");
    await mkdir(runFolder);
    await measureFleet({ folder: runFolder, isProfiled });
  }
  await printProfiles(folder);
  await rm(folder, { recursive: true, force: true });
}

function build(args: readonly string[]): void {
  execFileSync(process.execPath, ["scripts/build_target.mjs", ...args], {
    stdio: ["ignore", 2, 2],
  });
}

async function measureFleet(
  options: { folder: string; isProfiled: boolean },
): Promise<void> {
  const start = (role: "entry" | "control", count: number) =>
    Promise.all(
      Array.from(
        { length: count },
        (_, at) => startProgram(role, { at, ...options }),
      ),
    );
  const controls = await start("control", CONTROL_COUNT);
  const gateways = await start("entry", GATEWAY_COUNT);
  const processes = [...controls, ...gateways];
  await until("the leader has accepted a configuration", putConfig);
  const engines = await startEngines();
  await sleep(SETTLE_MS);
  const startMs = await readEach(processes, readCpuTimeMs);
  const startMb = await readEach(processes, readResidentMb);
  const idleMs = await measureIncrease(
    processes,
    () => sleep(IDLE_DURATION_MS),
  );
  let streams = { sent: 0, completed: 0 };
  const loadedMs = await measureIncrease(processes, async () => {
    streams = await runStreams();
  });
  const endMb = await readEach(processes, readResidentMb);
  process.stdout.write(
    `${streams.completed} of ${streams.sent} streams completed\n`,
  );
  printTable(processes.map(({ name }, at): TableRow => ({
    process: name,
    "start and 8 s, ms": startMs[at],
    "idle ms/s": (idleMs[at] / (IDLE_DURATION_MS / 1_000)).toFixed(1),
    "loaded ms": loadedMs[at],
    MB: startMb[at].toFixed(0),
    "MB after": endMb[at].toFixed(0),
  })));
  await Promise.all(processes.map(stopProcess));
  await Promise.all(engines.map((one) => one[Symbol.asyncDispose]()));
}

async function printProfiles(folder: string): Promise<void> {
  for (const name of ["control-0", "entry-0"]) {
    const profiles = join(folder, "profiled", name, "profile");
    const [file] = await readdir(profiles);
    process.stdout.write(`\n${name}\n`);
    printTable(
      await sumProfile(join(profiles, file), {
        bundleFile: join(folder, READABLE_BUNDLE),
      }),
    );
  }
}
