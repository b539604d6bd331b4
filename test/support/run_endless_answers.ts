/**
 * Calls of a service one of whose upstreams answers with bytes without end, beside
 * calls of another service, with real processes.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import { until } from "../../demo/until.ts";
import { makeWireConfig } from "../../standins/index.ts";
import type { EndlessKind } from "./endless_answers.ts";
import { call, type CallAnswer, expectStream } from "./fleet.ts";
import {
  FIRST_OTHER_ENGINE,
  LOOP_BLOCKED,
  type ProgramLine,
  startProcessFleet,
} from "./start_process_fleet.ts";

/** Options of {@link runEndlessAnswers}. */
export interface RunEndlessAnswersOptions {
  readonly kind: EndlessKind;
  /** Route of the service: one of `safe`, `once` and `feed`. */
  readonly route: string;
  readonly requests?: number;
  /** Ms between two requests of a service. */
  readonly intervalMs?: number;
}

/** How the calls of a service ended. */
export interface CallCounts {
  readonly asked: number;
  readonly whole: number;
  /** The others, by status; 0 if the connection ended early. */
  readonly failed: Readonly<Record<string, number>>;
  readonly medianMs: number;
  readonly longestMs: number;
}

/** What the calls and the gateways show. */
export interface EndlessAnswersReport {
  readonly kind: EndlessKind;
  readonly route: string;
  /** Calls of the service. */
  readonly own: CallCounts;
  /** Calls of the other service. */
  readonly beside: CallCounts;
  /** Calls that were sent to the upstream that answers without end. */
  readonly met: number;
  /** Most memory that a gateway took, in MB, and how much that grew. */
  readonly peakMemoryMb: number;
  readonly grownMb: number;
  /** Processor time of the gateways, in ms. */
  readonly processorMs: number;
  /** Longest time, in ms, for which a gateway's loop was blocked. */
  readonly longestBlockMs: number;
  readonly lines: readonly ProgramLine[];
}

const EVENTS = 20;

const DEADLINE_MS = 3_000;

const MAX_REQUESTS = 200;

const TIMEOUT_MS = 10_000;

const CALL_SENT = "CL1801";

const ANSWERED_STATUS = 200;

/** Makes a configuration with a service of streams, and another plain one. */
export function makeFeedConfig(
  version: number,
  fields: { readonly timeoutMs: number },
): object {
  const config = makeWireConfig(version, fields) as {
    routes: { name: string }[];
    services: object[];
  };
  const find = (name: string) =>
    config.routes.find((route) => route.name === name);
  return {
    ...config,
    routes: [
      ...config.routes,
      {
        ...find("stream"),
        name: "feed",
        pathPrefix: "/feed/",
        service: "feed",
      },
      {
        ...find("safe"),
        name: "other",
        pathPrefix: "/other/",
        service: "other",
      },
    ],
    services: [
      ...config.services,
      { name: "feed", maxConns: 100 },
      { name: "other", maxConns: 100 },
    ],
  };
}

type Answer = CallAnswer & { readonly requestId: string };

/** Comments of a stream, which its callers ignore. */
const COMMENTS = /^:.*\n\n/gm;

interface CallEnd {
  readonly status: number;
  readonly isWhole: boolean;
  readonly tookMs: number;
}

async function callOnce(address: string, path: string): Promise<CallEnd> {
  const startedMs = performance.now();
  const answer = await call(address, { path, deadlineMs: DEADLINE_MS })
    .catch(() => undefined);
  const isStream = path.startsWith("/feed/");
  const isExpected = ({ text, requestId }: Answer) =>
    isStream
      ? text.replace(COMMENTS, "") === expectStream(EVENTS)
      : text === `answer to ${requestId}`;
  return {
    status: answer?.status ?? 0,
    isWhole: answer?.status === ANSWERED_STATUS && isExpected(answer),
    tookMs: performance.now() - startedMs,
  };
}

function count(ends: readonly CallEnd[]): CallCounts {
  const failed: Record<string, number> = {};
  for (const { isWhole, status } of ends) {
    if (!isWhole) failed[status] = (failed[status] ?? 0) + 1;
  }
  const times = ends.map(({ tookMs }) => Math.round(tookMs))
    .sort((a, b) => a - b);
  return {
    asked: ends.length,
    whole: ends.filter(({ isWhole }) => isWhole).length,
    failed,
    medianMs: times[times.length >> 1],
    longestMs: times[times.length - 1],
  };
}

/**
 * Runs the calls.
 *
 * @param options - What the upstream answers with, and the route of the calls.
 * @returns How the calls ended, and what the gateways took.
 * @throws {Error} When the fleet does not start serving.
 * @example
 * const report = await runEndlessAnswers({ kind: "comments", route: "feed" });
 */
export async function runEndlessAnswers(
  options: RunEndlessAnswersOptions,
): Promise<EndlessAnswersReport> {
  const { kind, route, requests = 30, intervalMs = 100 } = options;
  const isStream = route === "feed";
  const service = isStream ? "feed" : "plain";
  await using fleet = await startProcessFleet({
    engines: 0,
    events: EVENTS,
    eventIntervalMs: 5,
    timeoutMs: TIMEOUT_MS,
    graceS: 5,
    measuresLoops: true,
    otherUpstreams: [
      { service, endless: kind },
      { service, isStream },
      { service: "other" },
      { service: "other" },
    ],
    makeConfig: makeFeedConfig,
  });
  const { gateways } = fleet;
  for (const { address } of gateways) {
    await until(
      "the gateway serves the other service",
      async () => (await callOnce(address, "/other/1")).isWhole,
    );
  }
  const readPeak = () =>
    Math.max(...gateways.map((one) => one.readPeakMemoryMb()));
  const readProcessor = () =>
    gateways.reduce((sum, one) => sum + one.readProcessorMs(), 0);
  const firstLines = gateways.map((one) => one.lines.length);
  const memoryMb = readPeak();
  const processorMs = readProcessor();
  const own: Promise<CallEnd>[] = [];
  const beside: Promise<CallEnd>[] = [];
  const countMet = () =>
    gateways.flatMap((one) => one.lines).filter(({ id, engineId }) =>
      id === CALL_SENT &&
      String(engineId).split("@")[0] === FIRST_OTHER_ENGINE
    ).length;
  // A run in which no call meets the upstream shows nothing.
  const needsMore = (at: number) =>
    at < requests || (at < MAX_REQUESTS && countMet() === 0);
  for (let at = 0; needsMore(at); at++) {
    const { address } = gateways[at % gateways.length];
    own.push(callOnce(address, `/${route}/1`));
    beside.push(callOnce(address, "/other/1"));
    await sleep(intervalMs);
  }
  const ends = await Promise.all(own);
  const endsBeside = await Promise.all(beside);
  const lines = gateways.flatMap((one) => one.lines);
  const blocks = gateways.flatMap((one, at) => one.lines.slice(firstLines[at]))
    .filter(({ id }) => id === LOOP_BLOCKED)
    .map(({ blockMs }) => Number(blockMs));
  return {
    kind,
    route,
    own: count(ends),
    beside: count(endsBeside),
    met: lines.filter(({ id, engineId }) =>
      id === CALL_SENT &&
      String(engineId).split("@")[0] === FIRST_OTHER_ENGINE
    ).length,
    peakMemoryMb: Math.round(readPeak()),
    grownMb: Math.round(readPeak() - memoryMb),
    processorMs: Math.round(readProcessor() - processorMs),
    longestBlockMs: Math.max(0, ...blocks),
    lines,
  };
}
