/**
 * Soak test of plain calls on kept connections while upstreams stand still and go on,
 * beside changes of the configuration, signals to gateways and the loss of the leader,
 * with real processes.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { until } from "../../demo/until.ts";
import { createRandomSource } from "../../proof/random_source.ts";
import { makeWireConfig } from "../../standins/index.ts";
import {
  callKept,
  createPersistentAgent,
  type KeptCallEnd,
} from "./call_kept.ts";
import { call } from "./fleet.ts";
import {
  changeConfigs,
  type Disturbance,
  killLeader,
  reloadSettings,
  restartGateways,
} from "./run_pause_soak.ts";
import { type ProgramLine, startProcessFleet } from "./start_process_fleet.ts";

/** Options of {@link runPlainPauseSoak}. */
export interface RunPlainPauseSoakOptions {
  readonly seed: number;
  /** Ms during which callers start calls. */
  readonly lengthMs: number;
  readonly callers?: number;
  /** All of them by default. */
  readonly disturbances?: readonly Disturbance[];
  /** Shares of the upstreams that pause together; one is drawn for each pause. */
  readonly shares?: readonly number[];
  /** Receives the log lines of each call that broke what must hold. */
  readonly onBadCall?: (lines: readonly ProgramLine[]) => void;
  /** Receives all log lines of the gateways. */
  readonly onEnd?: (lines: readonly ProgramLine[]) => void;
}

/** Counts of the calls of one route. */
export interface PlainCallCounts {
  readonly asked: number;
  readonly whole: number;
  /** Calls that were refused as not run, by reason. */
  readonly refused: Readonly<Record<string, number>>;
  /** Other answers, by status. */
  readonly failed: Readonly<Record<string, number>>;
}

/** Counts of one run. */
export interface PlainPauseSoakReport {
  readonly seed: number;
  readonly safe: PlainCallCounts;
  readonly once: PlainCallCounts;
  /** Times at which all upstreams of the service paused, and at which some did. */
  readonly pausesOfAll: number;
  readonly pausesOfSome: number;
  /**
   * Requests whose connection was closed before they were read, as far as the log lines
   * of the gateways and the runs show; they are sent again once.
   */
  readonly crossed: number;
  /** Those of them on a connection that had carried another request. */
  readonly crossedKept: number;
  /** Requests to a gateway that accepted no connection. */
  readonly unconnected: number;
  /** Requests that ended without the head of an answer after they were read. */
  readonly headless: number;
  /** Answers that broke off. */
  readonly brokenOff: number;
  /** Calls that ended later than their deadline. */
  readonly late: number;
  readonly longestMs: number;
  /** Calls that were refused as not run, but have run. */
  readonly falselyRefused: number;
  /** Calls that ran more often than their route allows. */
  readonly ranTooOften: number;
  /** Answers that belong to another request. */
  readonly swapped: number;
}

const DEADLINE_MS = 4_000;

/** Ms that a call may take beyond its deadline. */
const LATE_MARGIN_MS = 1_000;

const TIMEOUT_MS = 6_000;

const GRACE_S = 6;

/** Ms between two calls of a caller. */
const REST_MS = [0, 40] as const;

/**
 * Ms between two calls of which some end at the moment at which the gateway closes an
 * idle connection: it and the runtime each add 1 s to the shortest idle timeout.
 */
const CLOSING_REST_MS = [2_295, 2_310] as const;

/** One in this many rests lasts until the gateway closes the connection. */
const CLOSING_REST_INTERVAL = 12;

const PAUSE_MS = [1_000, 1_500] as const;

const SHARES = [1, 1, 0.5];

/** Time in which upstreams go on with what they have received, and report it. */
const LAST_REPORT_MS = 1_000;

const REFUSED_STATUS = 503;

const ANSWERED_STATUS = 200;

const CALL_ENDED_BADLY = "CL1808";

const REQUEST_REFUSED = "CL1501";

const MAX_RUNS = { safe: 2, once: 1 };

const IDLE_TIMEOUTS_MS = [300, 15_000, 1_000];

const UPSTREAMS = { plain: 5, other: 3 };

type RouteName = keyof typeof MAX_RUNS;

// Versions differ in the time limits of routes, the idle timeout and the services.
function makeChangingConfig(
  version: number,
  fields: { readonly timeoutMs: number },
): object {
  const config = makeWireConfig(version, fields) as {
    routes: { name: string }[];
    services: object[];
    limits: object;
  };
  const isMoved = (name: string) =>
    (name === "safe" && version % 4 === 0) ||
    (name === "once" && version % 5 === 0);
  return {
    ...config,
    routes: config.routes.map((route) =>
      isMoved(route.name) ? { ...route, service: "other" } : route
    ),
    services: [...config.services, { name: "other", maxConns: 100 }],
    limits: {
      ...config.limits,
      idleTimeoutMs: IDLE_TIMEOUTS_MS[version % IDLE_TIMEOUTS_MS.length],
    },
  };
}

/** A call as its caller saw it; one that crossed a close has two requests. */
interface PlainCall {
  readonly route: RouteName;
  readonly requestId: string;
  readonly end: KeptCallEnd;
  readonly tookMs: number;
}

/**
 * Runs the soak test with one seed.
 *
 * @param options - The seed, the duration and what happens beside the pauses.
 * @returns The counts of the run.
 * @throws {Error} When the fleet does not start serving.
 * @example
 * const report = await runPlainPauseSoak({ seed: 1, lengthMs: 20_000 });
 */
export async function runPlainPauseSoak(
  options: RunPlainPauseSoakOptions,
): Promise<PlainPauseSoakReport> {
  const { seed, lengthMs, callers = 40, shares = SHARES } = options;
  const {
    disturbances = [
      changeConfigs,
      reloadSettings,
      restartGateways,
      killLeader,
    ],
  } = options;
  const random = createRandomSource(seed);
  await using fleet = await startProcessFleet({
    gateways: 3,
    engines: 0,
    events: 1,
    eventIntervalMs: 1,
    timeoutMs: TIMEOUT_MS,
    graceS: GRACE_S,
    otherUpstreams: Object.entries(UPSTREAMS).flatMap(([service, count]) =>
      Array.from({ length: count }, () => ({ service }))
    ),
    makeConfig: makeChangingConfig,
  });
  for (const { address } of fleet.gateways) {
    for (const path of ["/safe/1", "/once/1"]) {
      await until(
        "the gateway serves",
        async () => (await call(address, { path })).status === ANSWERED_STATUS,
      );
    }
  }
  const endMs = performance.now() + lengthMs;
  const isOver = () => performance.now() >= endMs;
  const ended: PlainCall[] = [];
  const brokenRequests: {
    readonly requestId: string;
    readonly end: KeptCallEnd;
  }[] = [];
  let pausesOfAll = 0;
  let pausesOfSome = 0;
  let unconnected = 0;
  let lastRequest = 0;

  async function pauseUpstreams(): Promise<void> {
    while (!isOver()) {
      await sleep(random.integer(300, 2_000));
      const share = random.pick(shares);
      const paused = fleet.others.filter(() =>
        share === 1 || random.integer(0, 99) < 100 * share
      );
      if (share === 1) pausesOfAll += 1;
      else pausesOfSome += 1;
      paused.forEach((upstream) => upstream.pause());
      await sleep(random.integer(...PAUSE_MS));
      paused.forEach((upstream) => upstream.resume());
    }
  }

  async function runCaller(at: number): Promise<void> {
    const own = createRandomSource(1_000 * seed + at);
    const agent = createPersistentAgent();
    const route: RouteName = at % 2 === 0 ? "safe" : "once";
    while (!isOver()) {
      const { address } = own.pick(fleet.gateways);
      const startedMs = performance.now();
      const send = async () => {
        lastRequest += 1;
        const requestId = `plain-${seed}-${lastRequest}`;
        const path = `/${route}/1`;
        const deadlineMs = DEADLINE_MS;
        const options = { agent, address, path, requestId, deadlineMs };
        return { requestId, end: await callKept(options) };
      };
      const first = await send();
      let last = first;
      if (first.end.type === "closed" && !first.end.hasHead) {
        brokenRequests.push(first);
        last = await send();
      }
      if (last.end.type === "closed" && last !== first) {
        brokenRequests.push(last);
      } else if (first.end.type === "closed" && first.end.hasHead) {
        brokenRequests.push(first);
      }
      if (last.end.type === "unconnected") unconnected += 1;
      const tookMs = performance.now() - startedMs;
      if (last.end.type !== "unconnected") {
        ended.push({ route, ...last, tookMs });
      }
      const isClosingRest = own.integer(1, CLOSING_REST_INTERVAL) === 1;
      const [leastMs, mostMs] = isClosingRest ? CLOSING_REST_MS : REST_MS;
      await sleep(own.integer(leastMs, mostMs));
    }
    agent.destroy();
  }

  await Promise.all([
    pauseUpstreams(),
    ...Array.from({ length: callers }, (_, at) => runCaller(at)),
    ...disturbances.map((disturb) => disturb({ fleet, random, isOver })),
  ]);
  await sleep(LAST_REPORT_MS);
  const lines = fleet.gateways.flatMap((gateway) => gateway.lines);
  options.onEnd?.(lines);
  const readIds = new Set(lines.map(({ requestId }) => requestId));
  const outcomes = new Map(
    lines.filter(({ id }) => id === CALL_ENDED_BADLY || id === REQUEST_REFUSED)
      .map((
        { requestId, outcome, reason },
      ) => [requestId, String(outcome ?? reason)]),
  );
  const runCounts = new Map<string, number>();
  for (const { requestId } of fleet.others.flatMap((one) => one.listRuns())) {
    runCounts.set(requestId, (runCounts.get(requestId) ?? 0) + 1);
  }
  const getRuns = (requestId: string) => runCounts.get(requestId) ?? 0;
  const getStatus = ({ end }: PlainCall) =>
    end.type === "answered" ? end.status : 0;

  const isCrossed = ({ requestId, end }: typeof brokenRequests[number]) =>
    end.type === "closed" && !end.hasHead &&
    !readIds.has(requestId) && getRuns(requestId) === 0;
  const isLate = ({ tookMs }: PlainCall) =>
    tookMs > DEADLINE_MS + LATE_MARGIN_MS;
  const isFalselyRefused = (one: PlainCall) =>
    getStatus(one) === REFUSED_STATUS && getRuns(one.requestId) > 0;
  const isRunTooOften = ({ route, requestId }: PlainCall) =>
    getRuns(requestId) > MAX_RUNS[route];
  const isSwapped = ({ end, requestId }: PlainCall) =>
    end.type === "answered" && end.status === ANSWERED_STATUS &&
    end.body !== `answer to ${requestId}`;

  function countRoute(route: RouteName): PlainCallCounts {
    const own = ended.filter((one) => one.route === route);
    const refused: Record<string, number> = {};
    const failed: Record<string, number> = {};
    for (const one of own) {
      const status = getStatus(one);
      if (status === REFUSED_STATUS) {
        const reason = outcomes.get(one.requestId) ?? "unknown";
        refused[reason] = (refused[reason] ?? 0) + 1;
      } else if (status !== ANSWERED_STATUS) {
        failed[status] = (failed[status] ?? 0) + 1;
      }
    }
    const whole = own.filter((one) => getStatus(one) === ANSWERED_STATUS);
    return { asked: own.length, whole: whole.length, refused, failed };
  }

  const crossed = brokenRequests.filter(isCrossed);
  const closed = brokenRequests.filter((one) => !isCrossed(one));
  const hasHead = ({ end }: typeof brokenRequests[number]) =>
    end.type === "closed" && end.hasHead;
  const headless = closed.filter((one) => !hasHead(one));
  const bad = [
    ...closed,
    ...ended.filter((one) =>
      isLate(one) || isFalselyRefused(one) || isRunTooOften(one) ||
      isSwapped(one)
    ),
  ];
  for (const { requestId } of bad) {
    options.onBadCall?.(lines.filter((line) => line.requestId === requestId));
  }
  return {
    seed,
    safe: countRoute("safe"),
    once: countRoute("once"),
    pausesOfAll,
    pausesOfSome,
    crossed: crossed.length,
    crossedKept:
      crossed.filter(({ end }) => end.type === "closed" && end.isReused).length,
    unconnected,
    headless: headless.length,
    brokenOff: closed.length - headless.length,
    late: ended.filter(isLate).length,
    longestMs: Math.round(Math.max(0, ...ended.map(({ tookMs }) => tookMs))),
    falselyRefused: ended.filter(isFalselyRefused).length,
    ranTooOften: ended.filter(isRunTooOften).length,
    swapped: ended.filter(isSwapped).length,
  };
}

/** Whether a run broke what must hold. */
export function isBadPlainRun(report: PlainPauseSoakReport): boolean {
  return report.headless + report.brokenOff + report.late +
      report.falselyRefused + report.ranTooOften + report.swapped > 0;
}
