import { test } from "uvu";
import * as assert from "uvu/assert";
import { createReturnLog } from "../admission/index.ts";
import { createCapacityQueues } from "./create_capacity_queue.ts";
import { createCapacityWait } from "./create_capacity_wait.ts";
import type { Call, ServingContext } from "./types.ts";

interface CallFields {
  readonly key?: string;
  readonly rank?: number;
  readonly rankCount?: number;
  readonly account?: string;
  readonly lastEventId?: string;
  readonly isExempt?: boolean;
}

function startGateway(options: { readonly needsKeys?: boolean } = {}) {
  const clock = { ms: 0 };
  const now = () => clock.ms;
  const returnLog = createReturnLog({ now });
  const { needsKeys = false } = options;
  const context = {
    now,
    returnLog,
    getTable: () => ({ needsKeys }),
    getCapacityQueue: createCapacityQueues({
      getEndIntervalMs: () => 50,
      getOthersWaiting: () => 0,
      beginWait: () => () => {},
    }, { now }),
  } as unknown as ServingContext;
  const start = (fields: CallFields = {}) => {
    const { key = "new", rank = 0, rankCount = 1, account } = fields;
    const call = {
      service: "s",
      requestKey: key,
      route: { objectiveMs: 500 },
      request: { lastEventId: fields.lastEventId },
      account: account === undefined ? undefined : { name: account, keys: [] },
      rank,
      rankCount,
      startedMs: now(),
    } as unknown as Call;
    return createCapacityWait(call, context, { isExempt: fields.isExempt });
  };
  const refuse = (key: string) => {
    returnLog.noteRefused(key, { retryAfterMs: 1_000, isReserved: true });
  };
  return { clock, start, refuse };
}

test("with one priority and no accounts, a return does not go before those that wait", () => {
  const { clock, start, refuse } = startGateway();
  refuse("a");
  clock.ms = 1_000;
  const waiting = start();
  assert.ok(waiting.mayWait());
  const returning = start({ key: "a" });
  assert.not(returning.isFirst());
  assert.ok(returning.mayWait());
  assert.ok(waiting.isFirst());
});

test("with several priorities or with accounts, a return goes first in its rank", () => {
  const variants: readonly (CallFields & { readonly needsKeys: boolean })[] = [
    { rankCount: 2, needsKeys: false },
    { account: "x", needsKeys: true },
  ];
  for (const { needsKeys, ...fields } of variants) {
    const { clock, start, refuse } = startGateway({ needsKeys });
    refuse("a");
    clock.ms = 1_000;
    const waiting = start(fields);
    assert.ok(waiting.mayWait());
    assert.ok(start({ ...fields, key: "a" }).isFirst());
    // Another attempt with the same content is a new request.
    assert.not(start({ ...fields, key: "a" }).isFirst());
    assert.ok(waiting.isFirst());
  }
});

test("a stream that others overtake again and again leaves within 0.6 of its objective", () => {
  const { clock, start } = startGateway();
  const last = start({ rank: 1, rankCount: 2 });
  assert.ok(last.mayWait());
  let overtaking = start({ rankCount: 2 });
  assert.ok(overtaking.mayWait());
  while (last.mayWait()) {
    assert.ok(clock.ms <= 300);
    assert.not(last.isFirst());
    overtaking.admit();
    overtaking = start({ rankCount: 2 });
    assert.ok(overtaking.mayWait());
    clock.ms += 20;
  }
  assert.ok(clock.ms > 100);
  last.end();
  assert.ok(overtaking.isFirst());
});

test("an exempt stream waits among the most urgent ones", () => {
  const { start } = startGateway();
  const last = start({ rank: 2, rankCount: 3 });
  assert.ok(last.mayWait());
  const exempt = start({ rank: 2, rankCount: 3, isExempt: true });
  assert.ok(exempt.mayWait());
  assert.ok(start({ rank: 0, rankCount: 3 }).mayWait());
  assert.ok(exempt.isFirst());
});

test("a call counts as one admission of its account, however often it is sent", () => {
  const { start } = startGateway({ needsKeys: true });
  const resent = start({ account: "a" });
  resent.admit();
  resent.admit();
  start({ account: "b" }).admit();
  const waiting = start({ account: "b" });
  assert.ok(waiting.mayWait());
  assert.ok(start({ account: "a" }).mayWait());
  assert.ok(waiting.isFirst());
});

test("a resumed stream is not an admission of its account", () => {
  const { start } = startGateway({ needsKeys: true });
  start({ account: "a", lastEventId: "7" }).admit();
  start({ account: "b" }).admit();
  assert.ok(start({ account: "b" }).mayWait());
  assert.ok(start({ account: "a" }).isFirst());
});

test("the log fields say what a stream waits for", () => {
  const { clock, start } = startGateway();
  assert.ok(start({ rankCount: 3 }).mayWait());
  const wait = start({ rank: 2, rankCount: 3 });
  assert.ok(wait.mayWait());
  clock.ms = 40;
  assert.equal(wait.describe(), {
    rank: 2,
    isReturn: false,
    ahead: 1,
    waitedMs: 40,
    expectedWaitMs: 100,
  });
});

test.run();
