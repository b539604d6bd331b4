/**
 * Plays an overload of one gateway without a network: requests arrive at twice the rate
 * at which streams end, wait as `serveStreamCall` lets them, and return once after a
 * refusal.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import { createReturnLog } from "../admission/index.ts";
import { createCapacityQueues } from "./create_capacity_queue.ts";
import { createCapacityWait } from "./create_capacity_wait.ts";
import { createRetryAfterSchedule } from "./create_retry_after_schedule.ts";
import { createStreamEndRate } from "./create_stream_end_rate.ts";
import type { Call, ServingContext } from "./types.ts";

/** Streams that run at the same time. */
const SLOTS = 100;

const STREAM_MS = 2_000;

/** Streams that end per second while all slots are in use. */
const ENDS_PER_S = SLOTS / (STREAM_MS / 1_000);

const OBJECTIVE_MS = 600;

/** Ms between two checks of a waiting call, as in `createSendWaits`. */
const POLL_MS = 20;

/** Ms whose requests count; the slots fill before, and callers return after. */
const FROM_MS = 5_000;
const UNTIL_MS = 25_000;
const END_MS = 35_000;

/** Requests of one kind. */
interface Source {
  readonly name: string;
  readonly perS: number;
  readonly rank?: number;
  readonly account?: string;
  /** Share of its `Retry-After` after which a caller returns; 1 by default. */
  readonly returnAt?: number;
  /** Share of waiting callers that leave at each check; 0 by default. */
  readonly leaveShare?: number;
}

interface Attempt {
  readonly source: Source;
  readonly key: string;
  readonly isSecond: boolean;
  /** Time of the first attempt, in ms. */
  readonly askedMs: number;
  readonly startedMs: number;
  readonly wait: ReturnType<typeof createCapacityWait>;
}

interface Result {
  asked: number;
  served: number;
  secondAsked: number;
  secondServed: number;
  maxWaitMs: number;
  waitsMs: number[];
}

function playOverload(
  sources: readonly Source[],
  options: {
    readonly seed: number;
    readonly rankCount?: number;
    readonly exemptShare?: number;
  },
) {
  const { seed, rankCount = 1, exemptShare = 0 } = options;
  const random = createRandomSource(seed);
  const clock = { ms: 0 };
  const now = () => clock.ms;
  const endRate = createStreamEndRate({ now });
  const returnLog = createReturnLog({ now });
  const needsKeys = sources.some(({ account }) => account !== undefined);
  const schedule = createRetryAfterSchedule({
    getEndIntervalMs: endRate.getIntervalMs,
    getGatewayCount: () => 1,
    now,
    random: random.number,
  });
  const context = {
    now,
    returnLog,
    getTable: () => ({ needsKeys }),
    getCapacityQueue: createCapacityQueues({
      getEndIntervalMs: endRate.getIntervalMs,
      getOthersWaiting: () => 0,
      beginWait: () => () => {},
    }, { now }),
  } as unknown as ServingContext;
  const results = new Map<string, Result>(
    sources.map(({ name }) => [name, {
      asked: 0,
      served: 0,
      secondAsked: 0,
      secondServed: 0,
      maxWaitMs: 0,
      waitsMs: [],
    }]),
  );
  const timers = new Map<number, (() => void)[]>();
  let running = 0;
  const admittedStartsMs: number[] = [];
  let served = 0;
  let requests = 0;

  function setTimer(afterMs: number, run: () => void): void {
    const atMs = now() + Math.max(1, Math.round(afterMs));
    timers.set(atMs, [...timers.get(atMs) ?? [], run]);
  }

  function start(source: Source, key: string, askedMs = now()): void {
    const isSecond = askedMs < now();
    const { rank = 0, account } = source;
    const call = {
      service: "s",
      requestKey: key,
      route: { objectiveMs: OBJECTIVE_MS },
      request: {},
      account: account === undefined ? undefined : { name: account, keys: [] },
      rank,
      rankCount,
      startedMs: now(),
    } as unknown as Call;
    const isExempt = rank > 0 && random.chance(exemptShare);
    const wait = createCapacityWait(call, context, { isExempt });
    const startedMs = now();
    const attempt = { source, key, isSecond, askedMs, startedMs, wait };
    count(attempt, (result) => {
      if (isSecond) result.secondAsked += 1;
      else result.asked += 1;
    });
    check(attempt);
  }

  function count({ source, askedMs }: Attempt, add: (to: Result) => void) {
    const result = results.get(source.name);
    if (result && askedMs >= FROM_MS && askedMs < UNTIL_MS) add(result);
  }

  function check(attempt: Attempt): void {
    const { source, wait, isSecond, startedMs } = attempt;
    const waitedMs = now() - startedMs;
    count(attempt, (result) => {
      result.maxWaitMs = Math.max(result.maxWaitMs, waitedMs);
    });
    if (random.chance(source.leaveShare ?? 0)) return wait.end();
    if (!wait.isFirst() || running >= SLOTS) return waitOrRefuse(attempt);
    wait.admit();
    admittedStartsMs.push(startedMs);
    startStream();
    count(attempt, (result) => {
      result.waitsMs.push(waitedMs);
      if (isSecond) result.secondServed += 1;
      else result.served += 1;
    });
  }

  function startStream(): void {
    if (now() >= FROM_MS && now() < UNTIL_MS) served += 1;
    running += 1;
    setTimer(random.exponential(STREAM_MS), () => {
      running -= 1;
      endRate.noteEnd({ tookMs: STREAM_MS });
    });
  }

  function waitOrRefuse(attempt: Attempt): void {
    const { source, wait, key, isSecond } = attempt;
    if (wait.mayWait()) {
      return setTimer(POLL_MS, () => check(attempt));
    }
    wait.end();
    const { rank, returnAt = 1 } = source;
    const { waitMs, isReserved } = schedule.takeSlot("s", { rank });
    returnLog.noteRefused(key, { retryAfterMs: waitMs, isReserved });
    if (isSecond) return;
    setTimer(waitMs * returnAt, () => start(source, key, attempt.askedMs));
  }

  function startNext(source: Source): void {
    setTimer(random.exponential(1_000 / source.perS), () => {
      requests += 1;
      start(source, `request ${requests}`);
      startNext(source);
    });
  }

  sources.forEach(startNext);
  for (; clock.ms < END_MS; clock.ms += 1) {
    const due = timers.get(clock.ms) ?? [];
    timers.delete(clock.ms);
    for (const run of due) run();
  }
  const get = (name: string) => {
    const result = results.get(name);
    if (!result) throw new Error(`no source ${name}`);
    return {
      ...result,
      share: result.served / result.asked,
      secondShare: result.secondServed / result.secondAsked,
      totalShare: (result.served + result.secondServed) / result.asked,
      medianWaitMs: result.waitsMs.sort((a, b) => a - b)[
        Math.floor(result.waitsMs.length / 2)
      ],
    };
  };
  const servedPerS = served / ((UNTIL_MS - FROM_MS) / 1_000);
  return { get, servedPerS, admittedStartsMs };
}

const SEEDS = [1, 2];

const THREE_RANKS: readonly Source[] = [
  { name: "0", rank: 0, perS: 33 },
  { name: "1", rank: 1, perS: 33 },
  { name: "2", rank: 2, perS: 34 },
];

test("at twice the load the most urgent are served first, and no capacity is lost", () => {
  for (const seed of SEEDS) {
    const { get, servedPerS } = playOverload(THREE_RANKS, {
      seed,
      rankCount: 3,
    });
    const [first, second, third] = ["0", "1", "2"].map(get);
    assert.ok(first.share >= 0.98, `${first.share}`);
    assert.ok(first.medianWaitMs <= 60, `${first.medianWaitMs} ms`);
    assert.ok(second.totalShare > 0.4, `${second.totalShare}`);
    assert.ok(second.totalShare > third.totalShare);
    assert.ok(servedPerS >= 0.9 * ENDS_PER_S, `${servedPerS} per s`);
  }
});

test("a stream that is overtaken without end is refused within 0.6 of its objective", () => {
  for (const seed of SEEDS) {
    const { get } = playOverload(THREE_RANKS, { seed, rankCount: 3 });
    for (const { name } of THREE_RANKS) {
      const { maxWaitMs } = get(name);
      assert.ok(maxWaitMs <= 0.6 * OBJECTIVE_MS + POLL_MS, `${maxWaitMs} ms`);
    }
  }
});

test("with one in ten exempt, the least urgent keep a tenth, and the most urgent are served", () => {
  for (const seed of SEEDS) {
    const { get } = playOverload(THREE_RANKS, {
      seed,
      rankCount: 3,
      exemptShare: 0.1,
    });
    assert.ok(get("0").share >= 0.9, `${get("0").share}`);
    assert.ok(get("0").totalShare >= 0.99, `${get("0").totalShare}`);
    assert.ok(get("2").totalShare >= 0.1, `${get("2").totalShare}`);
  }
});

test("small accounts are not crowded out by a large one", () => {
  const small = Array.from({ length: 10 }, (_, at) => ({
    name: `small ${at}`,
    account: `small ${at}`,
    perS: 2,
  }));
  for (const seed of SEEDS) {
    const { get, servedPerS } = playOverload([
      { name: "large", account: "large", perS: 80 },
      ...small,
    ], { seed });
    for (const { name } of small) {
      const { share, totalShare } = get(name);
      assert.ok(share >= 0.75, `${name}: ${share} at the first attempt`);
      assert.ok(totalShare >= 0.95, `${name}: ${totalShare} in all`);
    }
    // The large account gets all that is left, 30 of its 80 requests per second.
    assert.ok(get("large").totalShare >= 0.3, `${get("large").totalShare}`);
    assert.ok(servedPerS >= 0.9 * ENDS_PER_S, `${servedPerS} per s`);
  }
});

test("nothing is kept back when only one account asks", () => {
  for (const seed of SEEDS) {
    const one = [{ name: "one", account: "one", perS: 100 }];
    const { servedPerS } = playOverload(one, { seed });
    assert.ok(servedPerS >= 0.95 * ENDS_PER_S, `${servedPerS} per s`);
  }
});

test("callers that return on time go before new ones, those that return early don't", () => {
  for (const seed of SEEDS) {
    const { get } = playOverload([
      { name: "on time", rank: 0, perS: 80 },
      { name: "early", rank: 0, perS: 20, returnAt: 0.5 },
    ], { seed, rankCount: 2 });
    const [onTime, early] = ["on time", "early"].map(get);
    assert.ok(onTime.secondShare >= 1.5 * onTime.share);
    assert.ok(onTime.secondShare >= 1.4 * early.secondShare);
    assert.ok(early.secondShare <= early.share + 0.1, `${early.secondShare}`);
    // Returns must not take all capacity from new requests.
    assert.ok(onTime.share >= 0.15, `${onTime.share}`);
  }
});

test("callers that leave while they wait take no capacity from the others", () => {
  for (const seed of SEEDS) {
    const { get, servedPerS } = playOverload([
      { name: "patient", rank: 0, perS: 40 },
      { name: "leaving", rank: 0, perS: 60, leaveShare: 0.5 },
    ], { seed, rankCount: 2 });
    assert.ok(servedPerS >= 0.9 * ENDS_PER_S, `${servedPerS} per s`);
    assert.ok(get("patient").share >= 0.75, `${get("patient").share}`);
  }
});

// The wait is bounded by the estimate alone, so first come, first served has to stay
// exactly that where the configuration has neither priorities nor accounts.
test("with one priority and no accounts, streams are admitted in the order of arrival", () => {
  for (const seed of SEEDS) {
    const { admittedStartsMs } = playOverload([
      { name: "a", perS: 60 },
      { name: "b", perS: 40 },
    ], { seed });
    const sorted = [...admittedStartsMs].sort((a, b) => a - b);
    assert.equal(admittedStartsMs, sorted);
  }
});

test.run();
