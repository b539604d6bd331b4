/**
 * Runs a program as the platform does: it is started again whenever it has ended. Each
 * end is judged, and more processes of the program can be started beside it.
 *
 * @module
 */

import type { ChildProcess } from "node:child_process";
import { once } from "node:events";
import { mkdir } from "node:fs/promises";
import { join } from "node:path";
import { createInterface } from "node:readline";
import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../proof/random_source.ts";
import { spawnProgram } from "../../scripts/spawn_program.ts";

/** How a process ended. */
export type EndKind =
  /** By SIGKILL, or with 0 after SIGTERM. */
  | "bySignal"
  /** By a SIGTERM that came before it had started. */
  | "inStart"
  /** With a line that says so, because another process of the program went on. */
  | "besideOther"
  | "byItself";

/** What is known of a process that has ended. */
export interface EndTrace {
  readonly program: string;
  readonly kind: EndKind;
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
  /** Last lines of its log and of its standard error. */
  readonly lines: readonly string[];
  readonly errors: readonly string[];
  /** Starts, signals and ends of all processes of the program, with the time in ms. */
  readonly history: readonly string[];
}

/** A process of a program. */
export interface ProgramRun {
  /** Whether it has logged anything. */
  hasLogged(): boolean;
  signal(signal: NodeJS.Signals): void;
  /** Closes the reading end of its log. */
  loseLogReader(): void;
  readonly ended: Promise<void>;
}

/** A program that is kept running. */
export interface SupervisedProgram extends AsyncDisposable {
  readonly name: string;
  /** All addresses at which it listens. */
  readonly addresses: readonly string[];
  readonly dataDir: string;
  /** Processes that have not ended. */
  readonly runs: ReadonlySet<ProgramRun>;
  /** Number of processes that were started. */
  readonly starts: number;
  /** Starts a process beside those that run; undefined while the program is held. */
  start(): Promise<ProgramRun | undefined>;
  /** Kills its processes, and starts none until it is released. */
  hold(): Promise<void>;
  release(): void;
  /** Starts it no more, and resolves with whether SIGTERM ends all its processes. */
  stop(limitMs: number): Promise<boolean>;
  /** Traces a failure that is no end. */
  trace(): EndTrace;
}

/** Options of {@link superviseProgram}. */
export interface SuperviseProgramOptions {
  readonly role: string;
  readonly name: string;
  /** Script that Node.js runs. */
  readonly file: string;
  readonly folder: string;
  readonly addresses: readonly string[];
  readonly args: readonly string[];
  readonly dataDir: string;
  /** Settings; `bootstrap` is true at the first start only. */
  readonly settings: object;
  /** Delays, in ms, of a start after an end; one is drawn for each. */
  readonly delaysMs: readonly number[];
  readonly random: RandomSource;
  readonly now: () => number;
  readonly onEnd: (trace: EndTrace) => void;
}

const EVENT = {
  started: "CL1001",
  startFailed: "CL1010",
  addressInUse: "CL1014",
};

const EXIT_START_FAILED = 3;

const KEPT_LINES = 12;

const KEPT_HISTORY = 60;

/** What is seen of a process while it runs. */
interface RunRecord {
  readonly number: number;
  readonly child: ChildProcess;
  readonly ids: Set<string>;
  readonly lines: string[];
  readonly errors: string[];
  readonly sent: Set<NodeJS.Signals>;
  isLogLost: boolean;
  /** Whether it got SIGTERM before it had started. */
  isStoppedInStart: boolean;
}

function judgeEnd(run: RunRecord, hasOther: boolean): EndKind {
  const { child: { exitCode, signalCode }, ids, sent } = run;
  if (signalCode === "SIGKILL" && sent.has("SIGKILL")) return "bySignal";
  if (exitCode === 0 && sent.has("SIGTERM")) return "bySignal";
  if (signalCode === "SIGTERM" && run.isStoppedInStart) return "inStart";
  const isExplained = run.isLogLost ||
    ids.has(EVENT.addressInUse) && ids.has(EVENT.startFailed);
  const isRefused = exitCode === EXIT_START_FAILED && isExplained;
  return isRefused && hasOther ? "besideOther" : "byItself";
}

function keepLast(list: string[], text: string, count: number): void {
  list.push(text);
  if (list.length > count) list.shift();
}

/**
 * Starts a program, and keeps it running.
 *
 * @param options - The program, and who is told of its ends.
 * @returns The program, once its first process runs.
 * @throws What `spawnProgram` throws.
 * @example
 * await using program = await superviseProgram({ role: "entry", ...options });
 */
export async function superviseProgram(
  options: SuperviseProgramOptions,
): Promise<SupervisedProgram> {
  const { role, name, folder, dataDir, random, now } = options;
  const runs = new Set<ProgramRun>();
  const pending = new Set<Promise<unknown>>();
  const history: string[] = [];
  let lastEnded: RunRecord | undefined;
  let starts = 0;
  let holds = 0;
  let isClosed = false;

  const record = (text: string) =>
    keepLast(history, `${Math.round(now())} ${text}`, KEPT_HISTORY);

  function makeTrace(run: RunRecord | undefined, kind: EndKind): EndTrace {
    return {
      program: run ? `${name} #${run.number}` : name,
      kind,
      code: run?.child.exitCode ?? null,
      signal: run?.child.signalCode ?? null,
      lines: run?.lines ?? [],
      errors: run?.errors ?? [],
      history: [...history],
    };
  }

  async function spawn(): Promise<ProgramRun> {
    const number = ++starts;
    // A file of its own, since another process may be reading its settings.
    const settingsFolder = join(folder, `${name}-${number}`);
    await mkdir(settingsFolder);
    const child = await spawnProgram(role, {
      file: options.file,
      folder: settingsFolder,
      settings: {
        ...options.settings,
        nodeId: name,
        dataDir,
        bootstrap: number === 1,
      },
      args: options.args,
      isLogPiped: true,
      isErrorPiped: true,
    });
    const run: RunRecord = {
      number,
      child,
      ids: new Set(),
      lines: [],
      errors: [],
      sent: new Set(),
      isLogLost: false,
      isStoppedInStart: false,
    };
    record(`start #${number}`);
    const { stdout, stderr } = child;
    if (!stdout || !stderr) throw new Error("the program's output is lost");
    createInterface({ input: stdout }).on("line", (line) => {
      run.ids.add(/"id":"(CL\d+)"/.exec(line)?.[1] ?? "");
      keepLast(run.lines, line, KEPT_LINES);
    });
    createInterface({ input: stderr }).on(
      "line",
      (line) => keepLast(run.errors, line, KEPT_LINES),
    );
    const controlled: ProgramRun = {
      hasLogged: () => run.ids.size > 0,
      signal(signal) {
        record(`${signal} #${number}`);
        if (signal === "SIGTERM" && !run.ids.has(EVENT.started)) {
          run.isStoppedInStart = true;
        }
        run.sent.add(signal);
        child.kill(signal);
      },
      loseLogReader() {
        record(`log reader lost #${number}`);
        run.isLogLost = true;
        stdout.destroy();
      },
      ended: once(child, "close").then(() => endRun(run, controlled)),
    };
    runs.add(controlled);
    return controlled;
  }

  function endRun(run: RunRecord, controlled: ProgramRun): void {
    const { exitCode, signalCode } = run.child;
    record(`end #${run.number} ${signalCode ?? exitCode}`);
    runs.delete(controlled);
    lastEnded = run;
    options.onEnd(makeTrace(run, judgeEnd(run, runs.size > 0)));
    void startAgain();
  }

  function start(): Promise<ProgramRun | undefined> {
    if (isClosed || holds > 0) return Promise.resolve(undefined);
    const started = spawn();
    pending.add(started);
    return started.finally(() => pending.delete(started));
  }

  const isDown = () => runs.size === 0 && pending.size === 0;

  async function startAgain(): Promise<void> {
    if (!isDown()) return;
    await sleep(random.pick(options.delaysMs));
    if (isDown()) await start();
  }

  async function endAll(signal: NodeJS.Signals): Promise<void> {
    await Promise.all(pending);
    for (const run of runs) run.signal(signal);
    await Promise.all([...runs].map(({ ended }) => ended));
  }

  await start();
  return {
    name,
    addresses: options.addresses,
    dataDir,
    runs,
    get starts() {
      return starts;
    },
    start,
    async hold() {
      holds += 1;
      await endAll("SIGKILL");
    },
    release() {
      holds -= 1;
      void startAgain();
    },
    async stop(limitMs) {
      isClosed = true;
      const hasEnded = endAll("SIGTERM").then(() => true);
      return await Promise.race([
        hasEnded,
        sleep(limitMs, false, { ref: false }),
      ]);
    },
    trace: () => makeTrace(lastEnded, "byItself"),
    async [Symbol.asyncDispose]() {
      isClosed = true;
      await endAll("SIGKILL");
    },
  };
}
