/**
 * What one of 200 gateways knows of the fleet's streams, and which decisions follow
 * from it.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createReturnLog } from "../admission/index.ts";
import { createActivityTally } from "../fleet/create_activity_tally.ts";
import { createStreamEndRate } from "./create_stream_end_rate.ts";
import { createFleetRates } from "./create_fleet_rates.ts";
import { createRetryAfterSchedule } from "./create_retry_after_schedule.ts";
import { createCapacityQueues } from "./create_capacity_queue.ts";
import { createCapacityWait } from "./create_capacity_wait.ts";
import type { Call } from "./types.ts";

const GATEWAYS = 200;
const SERVICE = "model";

/** Ms that callers accept until the first event. */
const OBJECTIVE_MS = 600;

/** Ms between two heartbeats of a gateway. */
const HEARTBEAT_MS = 350;

/** Ms between two reports of the leader. */
const REPORT_MS = 500;

const CALL = {
  service: SERVICE,
  route: { objectiveMs: OBJECTIVE_MS },
  request: { lastEventId: undefined },
  rank: 0,
  rankCount: 1,
  startedMs: 0,
} as unknown as Call;

function startFleet() {
  const clock = { nowMs: 0 };
  const now = () => clock.nowMs;
  const tally = createActivityTally({ now });
  const gateways = Array.from({ length: GATEWAYS }, (_, at) => {
    const endRate = createStreamEndRate({ now });
    const rates = createFleetRates({
      getOwnEndIntervalMs: endRate.getIntervalMs,
      getGatewayCount: () => GATEWAYS,
      now,
    });
    return {
      vm: `g${at}`,
      endRate,
      rates,
      queues: createCapacityQueues(rates, { now }),
    };
  });

  function endStream(at: number): void {
    const { endRate, rates } = gateways[at % GATEWAYS];
    endRate.noteEnd({ tookMs: 2_000 });
    rates.noteRequest(SERVICE);
    rates.noteEnded(SERVICE);
  }

  /** Ends one stream every `endEveryMs`, at one gateway after another. */
  function advance(durationMs: number, options: { endEveryMs: number }): void {
    const untilMs = clock.nowMs + durationMs;
    let ended = 0;
    for (; clock.nowMs < untilMs; clock.nowMs += 1) {
      if (clock.nowMs % options.endEveryMs === 0) endStream(ended++ * 7);
      if (clock.nowMs % HEARTBEAT_MS === 0) {
        gateways.forEach(({ vm, rates }) =>
          tally.add(vm, rates.takeOwnActivity())
        );
      }
      if (clock.nowMs % REPORT_MS === 0) {
        gateways.forEach(({ rates }) => rates.update(tally.get()));
      }
    }
  }

  function wait(at: number) {
    const { queues } = gateways[at];
    const call = { ...CALL, startedMs: clock.nowMs };
    return createCapacityWait(call, {
      getCapacityQueue: queues,
      returnLog: createReturnLog({ now }),
      getTable: () => undefined,
      now,
    });
  }

  return { clock, gateways, advance, wait };
}

test("a stream waits where the fleet ends one every 4 ms, though its gateway ends one a second", () => {
  const { gateways, advance, wait } = startFleet();
  advance(5_000, { endEveryMs: 4 });
  const [{ endRate, rates }] = gateways;
  assert.ok(endRate.getIntervalMs() > OBJECTIVE_MS);
  assert.ok(Math.abs(rates.getEndIntervalMs(SERVICE) - 4) < 0.7);
  const waits = gateways.map((_, at) => wait(at));
  const waiting = waits.filter((one) => one.mayWait());
  assert.is(waiting.length, GATEWAYS);
});

test("no stream waits behind more others than end within the time that callers accept", () => {
  const { gateways, advance, wait } = startFleet();
  advance(5_000, { endEveryMs: 4 });
  const waits = gateways.map((_, at) => wait(at));
  assert.ok(waits.every((one) => one.mayWait()));
  advance(1_000, { endEveryMs: 4 });
  // With 200 waiting and one end every 4 ms, the last of them expects to wait 800 ms.
  assert.not(wait(0).mayWait());
  waits.slice(0, 150).forEach((one) => one.end());
  advance(1_000, { endEveryMs: 4 });
  assert.ok(wait(0).mayWait());
});

test("no stream waits where the fleet ends few", () => {
  const { advance, wait } = startFleet();
  advance(5_000, { endEveryMs: 1_000 });
  assert.not(wait(3).mayWait());
});

test("all gateways together schedule retries at half the rate of stream ends", () => {
  const { clock, gateways, advance } = startFleet();
  advance(5_000, { endEveryMs: 4 });
  const returnsMs = gateways.flatMap(({ rates }) => {
    const schedule = createRetryAfterSchedule({
      getEndIntervalMs: rates.getEndIntervalMs,
      getGatewayCount: () => GATEWAYS,
      now: () => clock.nowMs,
      random: () => 0.5,
    });
    const [first, second] = [0, 1].map(() => schedule.getWaitMs(SERVICE));
    return [second - first];
  });
  // Each of 200 gateways lets one return every 1.6 s: 125 a second, of 250 ends.
  assert.ok(returnsMs.every((ms) => Math.abs(ms - 1_600) < 300));
});

test("without reports a gateway extrapolates from its own streams", () => {
  const { clock, gateways, advance } = startFleet();
  advance(5_000, { endEveryMs: 4 });
  const [{ rates, endRate }] = gateways;
  clock.nowMs += 10_000;
  assert.is(
    rates.getEndIntervalMs(SERVICE),
    endRate.getIntervalMs() / GATEWAYS,
  );
  assert.is(rates.getOthersWaiting(SERVICE), 0);
  assert.is(rates.getRequestsPerS(SERVICE), undefined);
});

test.run();
