/**
 * Gateways before upstreams that have less room than callers ask for: whoever is
 * full turns requests away and asks the gateway for rest.
 *
 * @module
 */

import TinyQueue from "tinyqueue";
import { createRandomSource } from "../proof/random_source.ts";
import { sumLoads } from "../src/fleet/index.ts";
import { isBusy } from "../src/gateway/admit_call.ts";
import { chooseEngine, getKeptShare } from "../src/gateway/choose_engine.ts";
import {
  type ComeBack,
  createEngineNotices,
  type EngineNotices,
} from "../src/gateway/create_engine_notices.ts";
import {
  createEngineTable,
  type EngineTable,
} from "../src/gateway/create_engine_table.ts";
import {
  type BackOffThrottle,
  createBackOffThrottle,
} from "../src/gateway/create_back_off_throttle.ts";
import {
  createUsualTimes,
  type UsualTimes,
} from "../src/gateway/create_usual_times.ts";
import type { EngineView } from "../src/gateway/engine_view.ts";
import { getBackOffWaitMs } from "../src/gateway/get_back_off_wait_ms.ts";
import { spreadReturnMs } from "../src/gateway/spread_return_ms.ts";

/** The load that is played, and what gateways make of rests. */
export interface RestLoad {
  readonly gateways: number;
  readonly engines: number;
  /** Requests that an engine works on at a time. */
  readonly slots: number;
  /** Requests that wait there besides. */
  readonly queue: number;
  readonly workMs: number;
  readonly askedPerS: number;
  readonly spanMs: number;
  /** Ms of rest that a full engine asks for. */
  readonly backOffMs: number;
  /** Whether gateways heed it. */
  readonly heedsRests: boolean;
  /** How they come back; as the product does by default. */
  readonly comeBack?: ComeBack;
  /** Whether the age of news of loads counts. */
  readonly weighsNews: boolean;
  /** Whether new requests are limited while many engines rest. */
  readonly throttles: boolean;
  readonly seed: number;
}

/** What callers and engines saw. */
export interface RestResult {
  readonly asked: number;
  /** Answers within the time that callers hope for. */
  readonly inTime: number;
  readonly served: number;
  /** Arrivals at engines that turned them away. */
  readonly turnedAway: number;
  /** Arrivals within a rest that the engine had asked that gateway for. */
  readonly intruded: number;
  /** Mean share of engines that rest, over gateways and time. */
  readonly backedOffShare: number;
  /** Mean share of the engines' slots that work. */
  readonly busyShare: number;
}

const SERVICE = "s";
const NETWORK_MS = 1;
const AIM_MS = 386;
const DEADLINE_MS = 3_000;
const MAX_TRIES = 3;
const LOADS_INTERVAL_MS = 350;
const SAMPLE_INTERVAL_MS = 50;
/** Ms after which callers come again where nothing better is known. */
const RETRY_AFTER_MS = 300;
/** Ms within which an engine still counts what was on its way as excused. */
const ON_THE_WAY_MS = 2 * NETWORK_MS;

interface Caller {
  readonly firstMs: number;
  returns: number;
}

interface Gateway {
  readonly table: EngineTable;
  readonly notices: EngineNotices;
  readonly throttle: BackOffThrottle;
  readonly usualTimes: UsualTimes;
}

interface Engine {
  running: number;
  readonly waiting: (() => void)[];
  /** Until when it has asked each gateway for rest. */
  readonly backOffUntilMs: number[];
}

/**
 * Plays a load.
 *
 * @param load - The load.
 * @returns What came of it.
 * @throws Nothing.
 * @example
 * const { turnedAway, asked } = playRests(load);
 */
export function playRests(load: RestLoad): RestResult {
  const { number: random } = createRandomSource(load.seed);
  const events = new TinyQueue<{ atMs: number; run: () => void }>(
    [],
    (a, b) => a.atMs - b.atMs,
  );
  let nowMs = 0;
  const after = (delayMs: number, run: () => void) =>
    events.push({ atMs: nowMs + delayMs, run });
  const tally = {
    asked: 0,
    inTime: 0,
    served: 0,
    turnedAway: 0,
    intruded: 0,
    resting: 0,
    busy: 0,
    samples: 0,
  };
  const engines = Array.from({ length: load.engines }, (): Engine => ({
    running: 0,
    waiting: [],
    backOffUntilMs: Array(load.gateways).fill(-Infinity),
  }));
  const gateways = Array.from({ length: load.gateways }, startGateway);

  function startGateway(): Gateway {
    const notices = createEngineNotices({
      steadyNow: () => nowMs,
      random,
      log: () => {},
      metrics: { count: () => {} },
      comeBack: load.comeBack,
    });
    const table = createEngineTable({
      now: () => nowMs,
      log: () => {},
      onGone: () => {},
      notices: load.heedsRests ? notices : undefined,
    });
    const records = engines.map((_, at) => ({
      engineId: String(at),
      service: SERVICE,
      address: `${at}:80`,
      place: "p",
      slots: load.slots,
      isLeaving: false,
    }));
    table.take({ type: "engines", isWhole: true, engines: records, gone: [] });
    const throttle = createBackOffThrottle({ now: () => nowMs });
    return { table, notices, throttle, usualTimes: createUsualTimes() };
  }

  function ask(caller: Caller): void {
    const at = Math.floor(random() * gateways.length);
    const { table, throttle } = gateways[at];
    const isLimited = load.throttles && isBusy(table.listUsable(SERVICE));
    const waitMs = isLimited ? throttle.admit(SERVICE) : undefined;
    if (waitMs !== undefined) return comeAgain(caller, waitMs);
    tryNext(caller, { at, excluded: new Set(), tries: 0 });
  }

  interface Call {
    readonly at: number;
    readonly excluded: Set<string>;
    tries: number;
  }

  function tryNext(caller: Caller, call: Call): void {
    const { table, usualTimes } = gateways[call.at];
    const ageMs = table.getLoadsAgeMs();
    const usualMs = usualTimes.getMs(SERVICE);
    const engine = call.tries < MAX_TRIES
      ? chooseEngine(table.listUsable(SERVICE), {
        place: "p",
        excluded: call.excluded,
        nowMs,
        random: random(),
        keptShare: load.weighsNews ? getKeptShare({ ageMs, usualMs }) : 1,
      })
      : undefined;
    if (!engine) return refuse(caller, call);
    call.tries += 1;
    send(caller, { call, engine });
  }

  function refuse(caller: Caller, call: Call): void {
    const { table, notices } = gateways[call.at];
    const backOffMs = load.heedsRests
      ? getBackOffWaitMs({ engines: table, notices, service: SERVICE })
      : undefined;
    comeAgain(caller, backOffMs ?? 0);
  }

  function comeAgain(caller: Caller, leastMs: number): void {
    const waitMs = leastMs === 0
      ? RETRY_AFTER_MS
      : spreadReturnMs(Math.max(RETRY_AFTER_MS, leastMs), random());
    const leftMs = caller.firstMs + DEADLINE_MS - nowMs;
    // Callers come back once, and wait for a third of the time that they have left.
    if (caller.returns > 0 || leftMs <= 0) return;
    caller.returns += 1;
    after(Math.min(waitMs, leftMs / 3), () => ask(caller));
  }

  function send(
    caller: Caller,
    { call, engine }: { call: Call; engine: EngineView },
  ): void {
    const { engineId } = engine.record;
    const { notices, throttle, usualTimes, table } = gateways[call.at];
    const sentMs = nowMs;
    const endSend = notices.beginSend(engineId);
    engine.inFlight += 1;
    after(NETWORK_MS, () => arrive(Number(engineId), { call, onAnswer }));

    function onAnswer(isTaken: boolean): void {
      after(NETWORK_MS, () => {
        engine.inFlight -= 1;
        engine.toldLoad = getToldLoad(engines[Number(engineId)]);
        if (!isTaken) {
          notices.take(engineId, {
            backOffMs: load.backOffMs,
            isLeaving: false,
          });
          const resting = table.listBackedOff(SERVICE).length;
          throttle.noteBackOff(SERVICE, {
            backedOffShare: resting / load.engines,
          });
        }
        endSend({ isTaken });
        if (isTaken) {
          usualTimes.noteAnswer(SERVICE, { tookMs: nowMs - sentMs });
          throttle.noteServed(SERVICE);
          return takeAnswer(caller);
        }
        call.excluded.add(engineId);
        tryNext(caller, call);
      });
    }
  }

  function getToldLoad({ running, waiting }: Engine): number {
    return (running + waiting.length) / load.slots;
  }

  function takeAnswer({ firstMs }: Caller): void {
    const tookMs = nowMs - firstMs;
    if (tookMs <= DEADLINE_MS) tally.served += 1;
    if (tookMs <= AIM_MS) tally.inTime += 1;
  }

  function arrive(
    at: number,
    options: { call: Call; onAnswer: (isTaken: boolean) => void },
  ): void {
    const engine = engines[at];
    const { call, onAnswer } = options;
    if (nowMs < engine.backOffUntilMs[call.at]) tally.intruded += 1;
    if (engine.running < load.slots) return work(engine, onAnswer);
    if (engine.waiting.length < load.queue) {
      engine.waiting.push(() => work(engine, onAnswer));
      return;
    }
    tally.turnedAway += 1;
    after(ON_THE_WAY_MS, () => {
      engine.backOffUntilMs[call.at] = nowMs - ON_THE_WAY_MS + load.backOffMs;
    });
    onAnswer(false);
  }

  function work(engine: Engine, onAnswer: (isTaken: boolean) => void): void {
    engine.running += 1;
    // Half of it is the same for all, half is drawn.
    const tookMs = load.workMs * (0.5 + random());
    after(tookMs, () => {
      engine.running -= 1;
      onAnswer(true);
      engine.waiting.shift()?.();
    });
  }

  function tellLoads(): void {
    const loads = sumLoads(gateways.map(({ table }) => table.getLoads()));
    gateways.forEach(({ table }) => table.takeLoads(loads));
    after(LOADS_INTERVAL_MS, tellLoads);
  }

  function sample(): void {
    const resting = gateways.reduce(
      (sum, { notices }) => sum + notices.countBackedOff(),
      0,
    );
    const busy = engines.reduce((sum, { running }) => sum + running, 0);
    tally.samples += 1;
    tally.resting += resting / (load.gateways * load.engines);
    tally.busy += busy / (load.engines * load.slots);
    after(SAMPLE_INTERVAL_MS, sample);
  }

  function askOn(): void {
    tally.asked += 1;
    ask({ firstMs: nowMs, returns: 0 });
    const gapMs = -Math.log(1 - random()) * 1_000 / load.askedPerS;
    if (nowMs + gapMs < load.spanMs) after(gapMs, askOn);
  }

  askOn();
  tellLoads();
  sample();
  const endMs = load.spanMs + DEADLINE_MS;
  for (let next = events.pop(); next; next = events.pop()) {
    if (next.atMs > endMs) break;
    nowMs = next.atMs;
    next.run();
  }
  const { samples, resting, busy, ...counts } = tally;
  return {
    ...counts,
    backedOffShare: resting / samples,
    busyShare: busy / samples,
  };
}
