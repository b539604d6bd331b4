/**
 * Soak test of the ends and starts of real processes: second starts beside running,
 * leaving and suspended processes, kills, signals in series, lost logs and disks, and
 * clients that send anything. Counts processes that end by themselves or don't start,
 * and acknowledged configurations that are lost.
 *
 * @module
 */

import { type ChildProcess, execFileSync, fork } from "node:child_process";
import { once } from "node:events";
import {
  copyFile,
  mkdir,
  mkdtemp,
  readFile,
  rm,
  writeFile,
} from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { request } from "undici";
import { until } from "../../demo/until.ts";
import { CALL } from "../../platform/names.ts";
import {
  createRandomSource,
  type RandomSource,
} from "../../proof/random_source.ts";
import { makeWireConfig } from "../../standins/index.ts";
import { callKept, createPersistentAgent } from "./call_kept.ts";
import { type CourseContext, END_COURSES } from "./end_courses.ts";
import {
  type EndKind,
  type EndTrace,
  type SupervisedProgram,
  superviseProgram,
} from "./supervise_program.ts";

/** Options of {@link runEndSoak}. */
export interface RunEndSoakOptions {
  readonly seed: number;
  /** Ms during which processes are disturbed. */
  readonly lengthMs: number;
  /** Three by default. */
  readonly controls?: number;
  /** Two by default. */
  readonly gateways?: number;
  /** Receives what is known of each failure. */
  readonly onFailure?: (trace: EndTrace) => void;
}

/** Counts of one run. */
export interface EndSoakReport {
  readonly seed: number;
  readonly starts: number;
  /** Ends of processes, by kind. */
  readonly ends: Readonly<Record<Exclude<EndKind, "byItself">, number>>;
  /** Ends for which no signal and no line gives the reason. */
  readonly endedByItself: number;
  /** Programs that don't serve although nothing disturbs them. */
  readonly failedStarts: number;
  /** Programs that SIGTERM doesn't end. */
  readonly failedStops: number;
  readonly acknowledged: number;
  /** Reads of a configuration older than an acknowledged one, or of none. */
  readonly lostVersions: number;
  /** Requests of callers that were answered with status 200. */
  readonly served: number;
  readonly lostDisks: number;
}

const ENGINE_PROGRAM = fileURLToPath(
  new URL("engine_process.js", import.meta.url),
);

/** Start of the line of a readable bundle that runs it. */
const BUNDLE_START = "void module.exports.main(";

const PORT = {
  front: 7_500,
  control: 7_501,
  ready: 7_502,
  directory: 7_503,
  peer: 7_504,
};

/** Ports of the metrics in `deploy/system.toml`. */
const METRICS_PORT = { entry: 9_464, control: 9_465 };

const GRACE_S = 1;

const START_DELAYS_MS = [0, 0, 100, 400, 2_000];

const STOP_LIMIT_MS = 20_000;

const CALL_LIMIT_MS = 1_000;

const RETRY_DELAY_MS = 20;

/** Callers leave a suspended gateway after this time. */
const CALLER_PATIENCE_MS = 6_000;

/** Configurations between two reads. */
const READ_INTERVAL = 10;

/** Courses that overlap at most; the number is drawn for each run. */
const MAX_PLAYERS = 3;

const FEW_COURSES = 3;

const CALLERS = 4;

const OPERATORS = 3;

const ANSWERED_STATUS = 200;

/** Processes of tests that run at the same time have networks of their own. */
const NETWORK = `127.${1 + (process.pid >> 8) % 250}.${process.pid % 250}`;

let lastHost = 0;

/** Builds the program and its launcher as for the platform. */
async function buildProgram(folder: string): Promise<string> {
  const bundle = join(folder, "bundle.cjs");
  execFileSync(process.execPath, [
    "scripts/build_target.mjs",
    "--readable",
    bundle,
  ]);
  // The launcher runs the bundle itself.
  const text = await readFile(bundle, "utf8");
  await writeFile(bundle, text.slice(0, text.lastIndexOf(BUNDLE_START)));
  const file = join(folder, "crowlever.cjs");
  await copyFile("scripts/launch.cjs", file);
  return file;
}

async function startUpstream(
  options: { readonly service: string; readonly at: number },
  controlAddresses: readonly string[],
): Promise<AsyncDisposable> {
  const { service, at } = options;
  const child: ChildProcess = fork(ENGINE_PROGRAM, [JSON.stringify({
    service,
    place: `p${1 + at % 2}`,
    controlAddresses,
    engineId: `${service}-${at}`,
    heartbeatPeriodMs: 500,
    events: 20,
    eventIntervalMs: 20,
    ...(service === "model" ? { card: "card" } : {}),
  })]);
  await once(child, "message");
  return {
    async [Symbol.asyncDispose]() {
      child.kill("SIGKILL");
      await once(child, "exit");
    },
  };
}

async function callControl(
  address: string,
  body?: string,
): Promise<string | undefined> {
  try {
    const path = body === undefined ? CALL.readConfig : CALL.putConfig;
    const answer = await request(`http://${address}${path}`, {
      method: body === undefined ? "GET" : "POST",
      headers: { "content-type": "application/json" },
      body,
      signal: AbortSignal.timeout(CALL_LIMIT_MS),
    });
    const text = await answer.body.text();
    return answer.statusCode === ANSWERED_STATUS ? text : undefined;
  } catch {
    return undefined;
  }
}

async function isReady(address: string): Promise<boolean> {
  const answer = await request(`http://${address}${CALL.readiness}`, {
    signal: AbortSignal.timeout(CALL_LIMIT_MS),
  });
  await answer.body.dump();
  return answer.statusCode === ANSWERED_STATUS;
}

function holds(test: () => Promise<boolean>): Promise<boolean> {
  return until("it holds", test).then(() => true, () => false);
}

function makeDocument(version: number): string {
  const timeoutMs = 5_000 + version % 1_000;
  return JSON.stringify(makeWireConfig(version, { timeoutMs }));
}

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed, the duration and the number of processes.
 * @returns The counts of the run.
 * @throws {Error} When the programs can't be built.
 * @example
 * const report = await runEndSoak({ seed: 1, lengthMs: 15_000 });
 */
export async function runEndSoak(
  options: RunEndSoakOptions,
): Promise<EndSoakReport> {
  const { seed, lengthMs, controls: controlCount = 3 } = options;
  const { gateways: gatewayCount = 2, onFailure = () => {} } = options;
  const random = createRandomSource(seed);
  const createOwnRandom = () => createRandomSource(random.integer(1, 2 ** 30));
  const startMs = performance.now();
  const folder = await mkdtemp(join(tmpdir(), "ends-"));
  const processes: AsyncDisposable[] = [];
  await using _cleanup = {
    async [Symbol.asyncDispose]() {
      await Promise.all(processes.map((one) => one[Symbol.asyncDispose]()));
      await rm(folder, { recursive: true, force: true });
    },
  };
  const file = await buildProgram(folder);
  const toleratedLosses = (controlCount - 1) / 2;
  const makeHost = () => `${NETWORK}.${1 + lastHost++ % 250}`;
  const controlHosts = Array.from({ length: controlCount }, makeHost);
  const controlAddresses = controlHosts.map((ip) => `${ip}:${PORT.control}`);
  const ends = { bySignal: 0, inStart: 0, besideOther: 0, byItself: 0 };
  const tally = { acknowledged: 0, lostVersions: 0, served: 0, lostDisks: 0 };
  let newestSent = 0;
  let newestAcknowledged = 0;
  let failedStarts = 0;
  let failedStops = 0;

  async function startProgram(
    role: "entry" | "control",
    { ip, at }: { readonly ip: string; readonly at: number },
  ): Promise<SupervisedProgram> {
    const name = `${role}-${at}`;
    const dataDir = role === "control" ? join(folder, name) : "";
    if (dataDir !== "") await mkdir(dataDir);
    const listen: Record<string, string> = role === "control"
      ? { control: `${ip}:${PORT.control}` }
      : {
        front: `${ip}:${PORT.front}`,
        ready: `${ip}:${PORT.ready}`,
        directory: `${ip}:${PORT.directory}`,
      };
    const program = await superviseProgram({
      role,
      name,
      file,
      folder,
      dataDir,
      args: role === "entry" ? [listen.front] : [],
      addresses: [
        ...Object.values(listen),
        `${ip}:${PORT.peer}`,
        `${ip}:${METRICS_PORT[role]}`,
      ],
      settings: {
        zone: `p${1 + at % 2}`,
        ip,
        listen,
        internalPorts: [PORT.peer],
        seeds: controlAddresses.slice(0, 3),
        heartbeatMs: 500,
        faultTolerance: { machines: toleratedLosses },
        bounds: { graceS: GRACE_S, budgetExtra: 1_000 },
      },
      delaysMs: START_DELAYS_MS,
      random: createOwnRandom(),
      now: () => performance.now() - startMs,
      onEnd(trace) {
        ends[trace.kind] += 1;
        if (trace.kind === "byItself") onFailure(trace);
      },
    });
    processes.push(program);
    return program;
  }

  const controls = await Promise.all(
    controlHosts.map((ip, at) => startProgram("control", { ip, at })),
  );
  const gatewayHosts = Array.from({ length: gatewayCount }, makeHost);
  const gateways = await Promise.all(
    gatewayHosts.map((ip, at) => startProgram("entry", { ip, at })),
  );
  const programs = [...controls, ...gateways];
  for (const [at, service] of ["plain", "plain", "model", "model"].entries()) {
    processes.push(await startUpstream({ service, at }, controlAddresses));
  }

  async function putNext(from: number): Promise<boolean> {
    newestSent += 1;
    const version = newestSent;
    const body = makeDocument(version);
    for (let at = 0; at < controlCount; at++) {
      const address = controlAddresses[(from + at) % controlCount];
      if (await callControl(address, body) === undefined) continue;
      tally.acknowledged += 1;
      newestAcknowledged = Math.max(newestAcknowledged, version);
      return true;
    }
    return false;
  }

  function isNewest(text: string, atLeast: number): boolean {
    const { version } = JSON.parse(text) as { version: number };
    return version >= atLeast && text === makeDocument(version);
  }

  // Some runs repeat a few courses, the others play all.
  const courses = random.chance(0.5)
    ? END_COURSES
    : Array.from({ length: FEW_COURSES }, () => random.pick(END_COURSES));
  // Some runs disturb the first start of the system, too.
  const isCalmStart = random.chance(0.5);
  if (isCalmStart) await until("a configuration is taken", () => putNext(0));
  const endMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= endMs;

  async function sendConfigs(own: RandomSource): Promise<void> {
    while (!isOver()) {
      const at = own.integer(0, controlCount - 1);
      if (!await putNext(at)) await sleep(RETRY_DELAY_MS);
      if (newestSent % READ_INTERVAL !== 0) continue;
      const atLeast = newestAcknowledged;
      const text = await callControl(own.pick(controlAddresses));
      if (text && !isNewest(text, atLeast)) tally.lostVersions += 1;
    }
  }

  async function playCourses(own: RandomSource): Promise<void> {
    const context: CourseContext = {
      controls,
      programs,
      random: own,
      mayLoseDisk() {
        const isAllowed = newestAcknowledged > 0 &&
          tally.lostDisks < toleratedLosses;
        if (isAllowed) tally.lostDisks += 1;
        return isAllowed;
      },
    };
    while (!isOver()) {
      await sleep(own.integer(0, 800));
      await own.pick(courses)(context);
      const isFollowedAtOnce = own.chance(0.5);
      const { acknowledged } = tally;
      while (
        !isFollowedAtOnce && tally.acknowledged === acknowledged && !isOver()
      ) await sleep(RETRY_DELAY_MS);
    }
  }

  async function callGateways(own: RandomSource, name: string): Promise<void> {
    const agent = createPersistentAgent();
    for (let at = 0; !isOver(); at++) {
      const call = callKept({
        agent,
        address: own.pick(gateways).addresses[0],
        path: own.pick(["/safe/1", "/stream/1"]),
        requestId: `${name}-${at}-1`,
        deadlineMs: CALL_LIMIT_MS,
      });
      const end = await Promise.race([call, sleep(CALLER_PATIENCE_MS)]);
      if (end?.type === "answered" && end.status === ANSWERED_STATUS) {
        tally.served += 1;
      } else await sleep(RETRY_DELAY_MS);
    }
    agent.destroy();
  }

  await Promise.all([
    ...Array.from(
      { length: OPERATORS },
      () => sendConfigs(createOwnRandom()),
    ),
    ...Array.from(
      { length: random.integer(1, MAX_PLAYERS) },
      () => playCourses(createOwnRandom()),
    ),
    ...Array.from(
      { length: CALLERS },
      (_, at) => callGateways(createOwnRandom(), `caller-${at}`),
    ),
  ]);

  async function expectServing(
    program: SupervisedProgram,
    isServing: () => Promise<boolean>,
  ): Promise<void> {
    if (await holds(isServing)) return;
    failedStarts += 1;
    onFailure(program.trace());
  }

  // What is served must be served by a process that goes on.
  const isRunning = (program: SupervisedProgram) => program.runs.size === 1;
  await Promise.all([
    ...controls.map((control, at) =>
      expectServing(control, async () =>
        isRunning(control) &&
        await callControl(controlAddresses[at]) !== undefined)
    ),
    ...gateways.map((gateway, at) =>
      expectServing(gateway, async () =>
        isRunning(gateway) &&
        await isReady(`${gatewayHosts[at]}:${PORT.ready}`))
    ),
  ]);
  if (!await holds(() => putNext(0))) failedStarts += 1;
  for (const address of controlAddresses) {
    const text = await callControl(address);
    if (!text || !isNewest(text, newestAcknowledged)) tally.lostVersions += 1;
  }
  await Promise.all(programs.map(async (program) => {
    if (await program.stop(STOP_LIMIT_MS)) return;
    failedStops += 1;
    onFailure(program.trace());
  }));
  const { byItself, ...expected } = ends;
  return {
    seed,
    starts: programs.reduce((sum, program) => sum + program.starts, 0),
    ends: expected,
    endedByItself: byItself,
    failedStarts,
    failedStops,
    ...tally,
  };
}

/** Whether a run broke what must hold. */
export function isBadEndRun(report: EndSoakReport): boolean {
  return report.endedByItself + report.failedStarts + report.failedStops +
      report.lostVersions > 0;
}
