/**
 * Callers and helpers that the soak tests of engines share.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";
import type { RandomSource } from "../../proof/random_source.ts";
import type { EngineArrival, LayerEngine } from "../../standins/index.ts";
import { call, expectStream, type TestFleet } from "./fleet.ts";

/** Counts of requests and answers. */
export interface CallTally {
  asked: number;
  served: number;
  refused: number;
  /** Answers with status 200 that are incomplete or wrong. */
  spoilt: number;
}

/** Ms between two requests of the callers. */
const REQUEST_INTERVAL_MS = 12;

/** Options of {@link sendRequestsUntil}. */
export interface SendRequestsOptions {
  readonly fleet: TestFleet;
  readonly random: RandomSource;
  readonly isOver: () => boolean;
  readonly tally: CallTally;
}

/** Sends requests to random gateways; ids begin with the gateway's number. */
export async function sendRequestsUntil(
  options: SendRequestsOptions,
): Promise<void> {
  const { fleet, random, isOver, tally } = options;
  const running: Promise<void>[] = [];
  for (let at = 0; !isOver(); at++) {
    const gatewayAt = random.integer(0, fleet.gateways.length - 1);
    const { address } = fleet.gateways[gatewayAt];
    running.push(sendOne({ at, address, idPrefix: `g${gatewayAt}`, tally }));
    await sleep(REQUEST_INTERVAL_MS);
  }
  await Promise.all(running);
}

async function sendOne(options: {
  readonly at: number;
  readonly address: string;
  readonly idPrefix: string;
  readonly tally: CallTally;
}): Promise<void> {
  const { at, address, idPrefix, tally } = options;
  const path = ["/stream/1", "/safe/1", "/once/1"][at % 3];
  tally.asked += 1;
  const answer = await call(address, { path, deadlineMs: 2_000, idPrefix })
    .catch(() => undefined);
  if (answer?.status === 503) tally.refused += 1;
  if (answer?.status !== 200) return;
  tally.served += 1;
  const whole = path === "/stream/1"
    ? expectStream()
    : `answer to ${answer.requestId}`;
  if (answer.text !== whole) tally.spoilt += 1;
}

/** Makes an engine accept requests without answering for a while. */
export async function freezeEngine(
  { fault }: LayerEngine,
  frozenMs: number,
): Promise<void> {
  fault.hangs = true;
  await sleep(frozenMs);
  fault.hangs = undefined;
}

/** Lists the requests that reached an engine. */
export function listRequests({ arrivals }: LayerEngine): EngineArrival[] {
  return arrivals.filter(({ type }) => type === "request");
}

/** Counts runs beyond the first of requests that must run at most once. */
export function countRepeatedRuns(engines: readonly LayerEngine[]): number {
  const ids = engines.flatMap((engine) => engine.runs)
    .filter((run) => run.target.startsWith("/once/"))
    .map((run) => run.requestId);
  return ids.length - new Set(ids).size;
}
