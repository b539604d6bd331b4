/**
 * Simulates gateways that choose paths by stale loads, as the leader last published
 * them. Engines without free capacity reject the streams sent to them.
 *
 * @module
 */

import { createRandomSource } from "../proof/random_source.ts";
import type { EngineRecord } from "../src/engines/index.ts";
import { type EngineLoads, sumLoads } from "../src/fleet/index.ts";
import { choosePath } from "../src/gateway/choose_path.ts";
import {
  createEngineTable,
  type EngineTable,
} from "../src/gateway/create_engine_table.ts";
import {
  type EstimatedWork,
  estimateOtherWork,
} from "../src/gateway/estimate_other_work.ts";
import type { AddressedPart } from "../src/gateway/protocol.ts";
import {
  getBatchStepMs,
  getMeanRequestTokens,
  getTokenCapacity,
  type LayerEngine,
  planLayerOrders,
} from "../src/layers/index.ts";
import type { LayeredModel } from "../src/routes/index.ts";

/** Simulated load, and how gateways choose paths. */
export interface PathChoiceScenario {
  readonly gateways: number;
  /** Streams requested per second. */
  readonly askedPerS: number;
  readonly spanMs: number;
  /** Whether gateways estimate the streams that other gateways have started since. */
  readonly estimatesOthers: boolean;
  readonly seed: number;
}

/** Outcome for callers and engines. */
export interface PathChoiceResult {
  readonly asked: number;
  /** Streams that started, at the first attempt or a later one. */
  readonly begun: number;
  /** Attempts that an engine rejected for lack of capacity. */
  readonly refusals: number;
  /** Mean time per token of the streams that started, in ms. */
  readonly tokenMs: number;
}

/** A model of 140 GB with 80 layers. */
const MODEL: LayeredModel = {
  layers: 80,
  layerMb: 1_750,
  kvTokenBytes: 492_000,
  loadMs: 14_000,
  loadsAtOnce: 6,
  slots: 134,
  stepMs: 0.85,
  requestStepMs: 0.0055,
  contextStepMs: 0.000_007_3,
  readTokensPerS: 236_000,
  usualPromptTokens: 772,
  usualAnswerTokens: 141,
  cards: [
    { name: "first", memoryMb: 72_000, stepFactor: 1.4, readFactor: 1 },
    { name: "fast", memoryMb: 36_000, stepFactor: 3.1, readFactor: 3.2 },
    { name: "slow", memoryMb: 21_600, stepFactor: 16, readFactor: 8.2 },
    { name: "small", memoryMb: 14_400, stepFactor: 15, readFactor: 15 },
  ],
};

/** Number of cards in each data centre, in the order of `MODEL.cards`. */
const PLACES: Readonly<Record<string, readonly number[]>> = {
  p0: [1, 6, 16, 22],
  p1: [1, 2, 19, 22],
  p2: [1, 3, 28, 11],
  p3: [0, 5, 15, 21],
  p4: [1, 2, 19, 21],
};

/** Time step of the simulation. */
const TICK_MS = 5;

/** Interval at which a gateway reports its loads to the leader. */
const REPORT_INTERVAL_MS = 350;

/** Interval at which the leader publishes the sum of all loads. */
const PUBLISH_INTERVAL_MS = 500;

/** Maximum number of attempts per stream, as its route allows. */
const MAX_ATTEMPTS = 4;

/** Time to prefill a prompt. */
const PREFILL_MS = 60;

interface RunningStream {
  readonly gateway: number;
  readonly path: readonly AddressedPart[];
  readonly endMs: number;
}

/** Actual state of an engine, as opposed to what gateways know of it. */
interface ActualEngine {
  tokens: number;
  requests: number;
  readonly capacityTokens: number;
  readonly stepFactor: number;
}

/**
 * Simulates streams over 216 engines of four kinds in five data centres.
 *
 * @param load - Rate of streams, gateways, and how they choose paths.
 * @returns Outcome for callers and engines.
 * @throws Nothing.
 * @example
 * const { refusals } = simulatePathChoice(load);
 */
export function simulatePathChoice(load: PathChoiceScenario): PathChoiceResult {
  const random = createRandomSource(load.seed).number;
  const clock = { nowMs: 0 };
  const records = planEngines();
  const actual = new Map(
    records.map((one) => [one.engineId, makeActualEngine(one)]),
  );
  const tables = Array.from({ length: load.gateways }, () => {
    const table = createEngineTable({
      now: () => clock.nowMs,
      log: () => {},
      onRemoved: () => {},
    });
    table.applyUpdate({
      type: "engines",
      isWhole: true,
      engines: records,
      gone: [],
    });
    return table;
  });
  const phasesMs = tables.map(() => random() * REPORT_INTERVAL_MS);
  const reportedLoads: EngineLoads[] = tables.map(() => ({}));
  const places = Object.keys(PLACES);
  const getPlace = (gateway: number) => places[gateway % places.length];
  let running: RunningStream[] = [];
  let asked = 0;
  let begun = 0;
  let refusals = 0;
  let tokenMsSum = 0;

  function endStreams(): void {
    const ended = running.filter(({ endMs }) => endMs <= clock.nowMs);
    running = running.filter(({ endMs }) => endMs > clock.nowMs);
    for (const { gateway, path } of ended) {
      countWork(path, -1);
      tables[gateway].removeWork(path, { tokens: getMeanRequestTokens(MODEL) });
    }
  }

  function countWork(path: readonly AddressedPart[], requests: number): void {
    const first = actual.get(path[0].engineId);
    if (first) first.requests += requests;
    for (const { engineId } of path) {
      const engine = actual.get(engineId);
      if (engine) engine.tokens += requests * getMeanRequestTokens(MODEL);
    }
  }

  function exchangeLoads(): void {
    tables.forEach((table, at) => {
      const isDue = (clock.nowMs + phasesMs[at]) % REPORT_INTERVAL_MS < TICK_MS;
      if (isDue) reportedLoads[at] = table.getLoads();
    });
    if (clock.nowMs % PUBLISH_INTERVAL_MS >= TICK_MS) return;
    const sum = sumLoads(reportedLoads);
    tables.forEach((table) => table.updateLoads(sum));
  }

  function estimateOthers(table: EngineTable): EstimatedWork | undefined {
    const ageS = table.getLoadsAgeMs() / 1_000;
    const begunRequests = load.askedPerS * ageS;
    if (!load.estimatesOthers || begunRequests === Infinity) return undefined;
    const inFlight = reportedLoads.flatMap((one) => Object.values(one))
      .reduce((sum, { requests }) => sum + requests, 0);
    return estimateOtherWork({
      startedRequests: begunRequests,
      endedShare: Math.min(1, begunRequests / Math.max(1, inFlight)),
      usualTokens: getMeanRequestTokens(MODEL),
      choose: (expected) =>
        choose(table, {
          place: getPlace(Math.floor(random() * load.gateways)),
          excluded: new Set(),
          expected,
        }),
      random,
    });
  }

  function choose(
    table: EngineTable,
    options: {
      readonly place: string;
      readonly excluded: ReadonlySet<string>;
      readonly expected: EstimatedWork | undefined;
    },
  ): AddressedPart[] | undefined {
    return choosePath(table.listUsable("model"), {
      model: MODEL,
      gatewayCount: 1,
      nowMs: clock.nowMs,
      need: { tokens: getMeanRequestTokens(MODEL), isNew: true },
      ...options,
    });
  }

  function route(gateway: number): void {
    const table = tables[gateway];
    const excluded = new Set<string>();
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const expected = estimateOthers(table);
      const place = getPlace(gateway);
      const path = choose(table, { place, excluded, expected });
      if (!path) return;
      const full = path.find(isFull);
      if (!full) return startStream(gateway, path);
      refusals += 1;
      excluded.add(full.engineId);
      table.noteFull(full.engineId);
    }
  }

  function isFull({ engineId }: AddressedPart, at: number): boolean {
    const engine = actual.get(engineId);
    if (!engine) return true;
    if (at === 0 && engine.requests >= MODEL.slots) return true;
    return engine.tokens + getMeanRequestTokens(MODEL) > engine.capacityTokens;
  }

  function startStream(gateway: number, path: readonly AddressedPart[]): void {
    const tokenMs = getTokenMs(path, actual);
    const answerTokens = (0.2 + 1.6 * random()) * MODEL.usualAnswerTokens;
    const endMs = clock.nowMs + PREFILL_MS + answerTokens * tokenMs;
    countWork(path, 1);
    tables[gateway].addWork(path, { tokens: getMeanRequestTokens(MODEL) });
    running.push({ gateway, path, endMs });
    begun += 1;
    tokenMsSum += tokenMs;
  }

  for (; clock.nowMs < load.spanMs; clock.nowMs += TICK_MS) {
    endStreams();
    exchangeLoads();
    const due = load.askedPerS * clock.nowMs / 1_000;
    for (; asked < due; asked++) route(Math.floor(random() * load.gateways));
  }
  return {
    asked,
    begun,
    refusals,
    tokenMs: tokenMsSum / Math.max(1, begun),
  };
}

function planEngines(): EngineRecord[] {
  const engines: (LayerEngine & { card: string })[] = Object.entries(PLACES)
    .flatMap(([place, counts]) =>
      MODEL.cards.flatMap(({ name, memoryMb, stepFactor }, kind) =>
        Array.from({ length: counts[kind] }, (_, at) => ({
          engineId: `${place}-${name}-${at}`,
          place,
          memoryMb,
          stepFactor,
          card: name,
        }))
      )
    );
  const byId = new Map(engines.map((one) => [one.engineId, one]));
  const orders = planLayerOrders(engines, {
    profile: MODEL,
    mayRedistribute: () => true,
  });
  return orders.flatMap(({ engineId, ...layers }) => {
    const engine = byId.get(engineId);
    if (!engine) return [];
    const { place, card } = engine;
    return [{
      engineId,
      place,
      card,
      layers,
      service: "model",
      address: engineId,
      slots: MODEL.slots,
      isLeaving: false,
    }];
  });
}

function makeActualEngine(
  { card: cardName, layers }: EngineRecord,
): ActualEngine {
  const card = MODEL.cards.find(({ name }) => name === cardName);
  const layerCount = layers ? layers.toLayer - layers.fromLayer : 1;
  const capacityTokens = getTokenCapacity(card?.memoryMb ?? 0, MODEL, {
    layerCount,
  });
  const stepFactor = card?.stepFactor ?? 1;
  return { tokens: 0, requests: 0, capacityTokens, stepFactor };
}

function getTokenMs(
  path: readonly AddressedPart[],
  actual: ReadonlyMap<string, ActualEngine>,
): number {
  return path.reduce((sum, { engineId, fromLayer, toLayer }) => {
    const { tokens = 0, stepFactor = 1 } = actual.get(engineId) ?? {};
    const requests = tokens / getMeanRequestTokens(MODEL);
    const share = (toLayer - fromLayer) / MODEL.layers;
    return sum + share * stepFactor * getBatchStepMs(MODEL, { requests });
  }, 0);
}
