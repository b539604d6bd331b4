import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { makeLayeredModel } from "../../test/support/make_layered_model.ts";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import { createReturnLog } from "../admission/index.ts";
import { createCapacityRefusal } from "./create_capacity_refusal.ts";
import { createEngineNotices } from "./create_engine_notices.ts";
import { createEngineTable } from "./create_engine_table.ts";
import { createRetryAfterSchedule } from "./create_retry_after_schedule.ts";
import { createUrgentCapacity } from "./create_urgent_capacity.ts";
import type { Call, ServingContext } from "./types.ts";

/** Paths over several data centres need time on a link. */
const MODEL = makeLayeredModel({ activationBytes: 1_000, placeLinkMbps: 100 });

/** Slots of the only engine. */
const SLOTS = 20;

function startGateway(options: { readonly running: number }) {
  const clock = { ms: 0 };
  const now = () => clock.ms;
  const notices = createEngineNotices({
    steadyNow: now,
    random: () => 0,
    log: () => {},
    metrics: { count: () => {} },
  });
  const engines = createEngineTable({
    now,
    log: () => {},
    onRemoved: () => {},
    notices,
  });
  const layers = { fromLayer: 0, toLayer: 8 };
  const engine = makeEngineRecord("e", { layers, card: "card", slots: SLOTS });
  engines.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: [engine],
    gone: [],
  });
  engines.updateLoads({ e: { tokens: 0, requests: options.running } });
  const context = {
    engines,
    notices,
    rateLimits: makeRateLimits({ now }),
    place: "p",
    now,
    random: () => 0.5,
    getTable: () => ({ getService: () => ({ model: MODEL }) }),
    getGatewayCount: () => 1,
    listGatewayPlaces: () => ["p"],
    rates: { getRequestsPerS: () => undefined },
    upstreamTransport: { hasIdleConnection: () => true },
    linkBudget: {
      take: () => assert.unreachable("link time must not be used up"),
    },
    retryAfterSchedule: createRetryAfterSchedule({
      getEndIntervalMs: () => 100,
      getGatewayCount: () => 1,
      now,
      random: () => 0.5,
    }),
    returnLog: createReturnLog({ now }),
    urgentCapacity: createUrgentCapacity({ now }),
    getResumeQueue: () => ({ isWaitingForLink: () => false }),
  } as unknown as ServingContext;
  const refuse = (rank: number, isFull = true) => {
    const call = {
      service: "s",
      requestKey: `key ${rank}`,
      request: { promptTokens: 20, maxAnswerTokens: 20 },
      rank,
      rankCount: 3,
    } as Call;
    return createCapacityRefusal(call, context, { isFull, tokens: 40 });
  };
  return { clock, context, refuse };
}

test("a less urgent request is refused as overload where an urgent one would fit", () => {
  const { refuse } = startGateway({ running: SLOTS / 2 });
  assert.equal(refuse(2), {
    status: 503,
    reason: "overload",
    retryAfterMs: 4_500,
  });
});

test("where an urgent request would not fit either, the reason is no_upstream", () => {
  const { refuse } = startGateway({ running: SLOTS });
  assert.is(refuse(2).reason, "no_upstream");
});

test("the most urgent requests are never refused as overload", () => {
  const { refuse } = startGateway({ running: SLOTS / 2 });
  assert.is(refuse(0).reason, "no_upstream");
});

test("a request that did not wait for capacity is not refused as overload", () => {
  const { refuse } = startGateway({ running: SLOTS / 2 });
  assert.is(refuse(2, false).reason, "no_upstream");
});

test("a refused request is recognised when it returns, and not before", () => {
  const { clock, context, refuse } = startGateway({ running: SLOTS });
  const { retryAfterMs = 0 } = refuse(1);
  assert.is(retryAfterMs, 3_500);
  clock.ms = retryAfterMs / 2;
  assert.not(context.returnLog.takeReturn("key 1"));
  clock.ms = retryAfterMs;
  assert.ok(context.returnLog.takeReturn("key 1"));
});

test.run();
