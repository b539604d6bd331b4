/**
 * Soak test of engines that stand still and go on, beside changes of the configuration,
 * signals to gateways and the loss of the leader, with real processes.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import {
  createRandomSource,
  type RandomSource,
} from "../../proof/random_source.ts";
import { until } from "../../demo/until.ts";
import { call, expectStream } from "./fleet.ts";
import {
  type EngineProcess,
  type EngineProcessRun,
  type ProcessFleet,
  type ProgramLine,
  startProcessFleet,
  type StartProcessFleetOptions,
} from "./start_process_fleet.ts";

/** What happens beside the streams. */
export type Disturbance = (play: {
  readonly fleet: ProcessFleet;
  readonly random: RandomSource;
  readonly isOver: () => boolean;
}) => Promise<void>;

/** Options of {@link runPauseSoak}. */
export interface RunPauseSoakOptions
  extends Pick<StartProcessFleetOptions, "gateways" | "engines"> {
  readonly seed: number;
  /** Ms during which callers start streams. */
  readonly lengthMs: number;
  /** Ms between two streams. */
  readonly requestIntervalMs?: number;
  /** All of them by default. */
  readonly disturbances?: readonly Disturbance[];
  /** Shares of the engines that pause together; one is drawn for each pause. */
  readonly shares?: readonly number[];
  /** Shortest and longest pause of an engine, in ms. */
  readonly pauseMs?: readonly [number, number];
  /** Receives the log lines of each stream that broke what must hold. */
  readonly onBadStream?: (lines: readonly ProgramLine[]) => void;
}

/** Counts of one run. */
export interface PauseSoakReport {
  readonly seed: number;
  readonly asked: number;
  readonly whole: number;
  /** Streams that were refused and have not run. */
  readonly refused: number;
  /** Streams that ended at their deadline. */
  readonly late: number;
  /** Streams that have run and were ended before their time. */
  readonly cut: number;
  /** Streams whose events are wrong, or that look complete but are not. */
  readonly spoilt: number;
  /** Streams that were refused as not run, but have run. */
  readonly falselyRefused: number;
  /** Streams that ran on more engines than their route allows. */
  readonly ranTooOften: number;
  /** Pauses of engines. */
  readonly pauses: number;
}

const EVENTS = 100;

const EVENT_INTERVAL_MS = 20;

const DEADLINE_MS = 8_000;

/** Time limit of the routes: longer than the deadline of the streams. */
const TIMEOUT_MS = 15_000;

/** Grace period of a gateway that leaves: longer than the deadline of the streams. */
const GRACE_S = 12;

/** Engines that a route allows. */
const MAX_ATTEMPTS = 2;

/** Ms before the deadline from which on a stream counts as ended by it. */
const DEADLINE_MARGIN_MS = 300;

const REQUEST_INTERVAL_MS = 80;

/** Time in which engines report their last runs. */
const LAST_REPORT_MS = 100;

const REFUSED_STATUS = 503;

const ANSWERED_STATUS = 200;

const PAUSE_MS = [300, 3_000] as const;

const SHARES = [1, 1, 0.5, 0.25];

/** Engines that are paused at the moment, by the number of pauses. */
function createPauses() {
  const counts = new Map<EngineProcess, number>();
  let pauses = 0;
  return {
    getCount: () => pauses,
    async pause(engine: EngineProcess, pausedMs: number): Promise<void> {
      pauses += 1;
      counts.set(engine, (counts.get(engine) ?? 0) + 1);
      engine.pause();
      await sleep(pausedMs);
      const count = (counts.get(engine) ?? 1) - 1;
      counts.set(engine, count);
      if (count === 0) engine.resume();
    },
  };
}

/** Changes the configuration again and again. */
export const changeConfigs: Disturbance = async ({ fleet, random, isOver }) => {
  while (!isOver()) {
    await sleep(random.integer(300, 1_500));
    await fleet.changeConfig();
  }
};

/** Makes gateways and control processes read their settings again. */
export const reloadSettings: Disturbance = async (
  { fleet, random, isOver },
) => {
  while (!isOver()) {
    await sleep(random.integer(200, 1_500));
    random.pick([...fleet.gateways, ...fleet.controls]).kill("SIGHUP");
  }
};

/** Stops one gateway after the other as planned, and starts it again. */
export const restartGateways: Disturbance = async (
  { fleet, random, isOver },
) => {
  const [, ...others] = fleet.gateways;
  for (const gateway of others) {
    await sleep(random.integer(500, 3_000));
    if (isOver()) return;
    gateway.kill("SIGTERM");
    await sleep(random.integer(0, 100));
    gateway.kill("SIGTERM");
    await gateway.ended();
    await gateway.restart();
  }
};

/** Kills the leader, and starts it again. */
export const killLeader: Disturbance = async ({ fleet, random, isOver }) => {
  while (!isOver()) {
    await sleep(random.integer(2_000, 6_000));
    const leader = fleet.findLeader();
    if (!leader || isOver()) continue;
    leader.kill("SIGKILL");
    await leader.ended();
    await sleep(random.integer(100, 2_000));
    await leader.restart();
  }
};

/** Engines lose their power one after the other, and are back after some seconds. */
export const darkenEngines: Disturbance = async ({ fleet, random, isOver }) => {
  while (!isOver()) {
    await sleep(random.integer(1_000, 4_000));
    const engine = random.pick(fleet.engines);
    await engine.darken();
    await sleep(random.integer(2_000, 6_000));
    await engine.replace();
  }
};

/** Engines crash one after the other, and are started again. */
export const crashEngines: Disturbance = async ({ fleet, random, isOver }) => {
  while (!isOver()) {
    await sleep(random.integer(1_000, 4_000));
    await random.pick(fleet.engines).replace();
  }
};

const ALL_DISTURBANCES = [
  changeConfigs,
  reloadSettings,
  restartGateways,
  killLeader,
];

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed, the duration and what happens beside the pauses.
 * @returns The counts of the run.
 * @throws {Error} When the fleet does not start serving.
 * @example
 * const report = await runPauseSoak({ seed: 1, lengthMs: 20_000 });
 */
export async function runPauseSoak(
  options: RunPauseSoakOptions,
): Promise<PauseSoakReport> {
  const { seed, lengthMs, disturbances = ALL_DISTURBANCES } = options;
  const { requestIntervalMs = REQUEST_INTERVAL_MS } = options;
  const { shares = SHARES, pauseMs = PAUSE_MS } = options;
  const random = createRandomSource(seed);
  await using fleet = await startProcessFleet({
    gateways: options.gateways,
    engines: options.engines,
    events: EVENTS,
    eventIntervalMs: EVENT_INTERVAL_MS,
    timeoutMs: TIMEOUT_MS,
    graceS: GRACE_S,
  });
  for (const { address } of fleet.gateways) {
    await until(
      "the gateway serves",
      async () => (await readStream(address)).isWhole,
    );
  }
  const pauses = createPauses();
  const endMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= endMs;

  // All engines pause together, or some of them at overlapping times.
  async function pauseEngines(): Promise<void> {
    const running: Promise<void>[] = [];
    while (!isOver()) {
      await sleep(random.integer(200, 2_500));
      const pausedMs = random.integer(...pauseMs);
      const share = random.pick(shares);
      const paused = fleet.engines.filter(() =>
        share === 1 || random.integer(0, 99) < 100 * share
      );
      running.push(...paused.map((engine) => pauses.pause(engine, pausedMs)));
    }
    await Promise.all(running);
  }

  const answers: Promise<StreamEnd>[] = [];

  async function startStreams(): Promise<void> {
    while (!isOver()) {
      answers.push(readStream(random.pick(fleet.gateways).address));
      await sleep(requestIntervalMs);
    }
  }

  await Promise.all([
    startStreams(),
    pauseEngines(),
    ...disturbances.map((disturb) => disturb({ fleet, random, isOver })),
  ]);
  const ends = await Promise.all(answers);
  await sleep(LAST_REPORT_MS);
  const runs = fleet.engines.map((engine) => engine.listRuns());
  const listNames = (
    of: readonly EngineProcessRun[],
  ) => [...new Set(of.map(({ requestId }) => getName(requestId)))];
  const ranNames = new Set(listNames(runs.flat()));
  const engineCounts = new Map<string, number>();
  // An engine that has ended does not count.
  const counted = runs.flatMap((of) =>
    listNames(of.filter(({ hasEnded }) => !hasEnded))
  );
  for (const name of counted) {
    engineCounts.set(name, (engineCounts.get(name) ?? 0) + 1);
  }
  const hasRun = ({ name }: StreamEnd) => ranNames.has(name);
  const count = (isCounted: (end: StreamEnd) => boolean) =>
    ends.filter(isCounted).length;
  const isLate = ({ tookMs }: StreamEnd) =>
    tookMs >= DEADLINE_MS - DEADLINE_MARGIN_MS;
  const isCut = (end: StreamEnd) => !end.isWhole && hasRun(end) && !isLate(end);
  const isRunTooOften = ({ name }: StreamEnd) =>
    (engineCounts.get(name) ?? 0) > MAX_ATTEMPTS;
  const lines = fleet.gateways.flatMap((gateway) => gateway.lines);
  for (
    const { name } of ends.filter((end) => isCut(end) || isRunTooOften(end))
  ) {
    options.onBadStream?.(
      lines.filter(({ requestId }) => getName(requestId) === name),
    );
  }
  return {
    seed,
    asked: ends.length,
    whole: count(({ isWhole }) => isWhole),
    refused: count((end) => end.status === REFUSED_STATUS && !hasRun(end)),
    late: count((end) => !end.isWhole && hasRun(end) && isLate(end)),
    cut: count(isCut),
    spoilt: count(({ isSpoilt }) => isSpoilt),
    falselyRefused: count((end) =>
      end.status === REFUSED_STATUS && hasRun(end)
    ),
    ranTooOften: count(isRunTooOften),
    pauses: pauses.getCount(),
  };
}

/** How a stream ended for its caller. */
interface StreamEnd {
  readonly name: string;
  /** 0 if the connection ended before the head or in the middle of the answer. */
  readonly status: number;
  readonly isWhole: boolean;
  readonly isSpoilt: boolean;
  readonly tookMs: number;
}

let lastStream = 0;

/** Returns the name of a stream; its request's id has a number behind it. */
function getName(requestId: unknown): string {
  const id = String(requestId);
  return id.slice(0, id.lastIndexOf("-"));
}

async function readStream(address: string): Promise<StreamEnd> {
  const startedMs = performance.now();
  lastStream += 1;
  const name = `stream-${lastStream}`;
  const answer = await call(address, {
    path: "/stream/1",
    deadlineMs: DEADLINE_MS,
    idPrefix: name,
  }).catch(() => undefined);
  const isAnswered = answer?.status === ANSWERED_STATUS;
  const isWhole = isAnswered && answer.text === expectStream(EVENTS);
  return {
    name,
    status: answer?.status ?? 0,
    isWhole,
    isSpoilt: isAnswered && !isWhole,
    tookMs: performance.now() - startedMs,
  };
}

/** Whether a run broke what must hold. */
export function isBadRun(report: PauseSoakReport): boolean {
  return report.cut + report.spoilt + report.falselyRefused +
      report.ranTooOften > 0;
}
