import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRetryAfterSchedule } from "./create_retry_after_schedule.ts";

function startSchedule(endIntervalMs: number) {
  return createRetryAfterSchedule({
    getEndIntervalMs: () => endIntervalMs,
    getGatewayCount: () => 1,
    now: () => 0,
    random: () => 0.5,
  });
}

test("each less urgent rank is told to return 1 s later", () => {
  const schedule = startSchedule(0);
  const waits = [0, 1, 2].map((rank) => schedule.getWaitMs("s", { rank }));
  assert.equal(waits, [2_500, 3_500, 4_500]);
});

test("no rank is told to wait for longer than 6 s", () => {
  const schedule = startSchedule(100);
  const waits = Array.from(
    { length: 60 },
    (_, at) => schedule.getWaitMs("s", { rank: at % 9 }),
  );
  assert.is(Math.max(...waits), 6_000);
});

test("refusals of less urgent callers don't delay the more urgent ones", () => {
  const schedule = startSchedule(100);
  for (let at = 0; at < 50; at += 1) schedule.getWaitMs("s", { rank: 2 });
  assert.is(schedule.getWaitMs("s", { rank: 2 }), 6_000);
  assert.is(schedule.getWaitMs("s", { rank: 0 }), 2_500);
  assert.is(schedule.getWaitMs("s", { rank: 0 }), 2_700);
});

test("slots of more urgent callers are not given to less urgent ones", () => {
  const schedule = startSchedule(100);
  const urgent = [1, 2, 3].map(() => schedule.getWaitMs("s", { rank: 0 }));
  assert.equal(urgent, [2_500, 2_700, 2_900]);
  assert.is(schedule.getWaitMs("s", { rank: 1 }), 3_100 + 1_000);
  assert.is(schedule.getWaitMs("s", { rank: 0 }), 3_100);
  // The slots at 3.1 and 3.3 s are taken.
  assert.is(schedule.getWaitMs("s", { rank: 1 }), 3_500 + 1_000);
});

test("returns for which capacity is reserved come at half the rate of stream ends", () => {
  const clock = { ms: 0 };
  const schedule = createRetryAfterSchedule({
    getEndIntervalMs: () => 20,
    getGatewayCount: () => 1,
    now: () => clock.ms,
    random: () => 0.5,
  });
  let reserved = 0;
  for (; clock.ms < 60_000; clock.ms += 10) {
    const { waitMs, isReserved } = schedule.takeSlot("s", { rank: 1 });
    assert.ok(waitMs >= 3_500 && waitMs <= 6_000);
    if (isReserved && clock.ms >= 10_000) reserved += 1;
  }
  // 50 streams end per second, 100 callers are refused.
  assert.ok(Math.abs(reserved - 25 * 50) <= 2, `${reserved} reserved`);
});

test("without a rank, callers are told as those of the most urgent one", () => {
  const [plain, ranked] = [startSchedule(100), startSchedule(100)];
  for (let at = 0; at < 40; at += 1) {
    assert.is(plain.getWaitMs("s"), ranked.getWaitMs("s", { rank: 0 }));
  }
});

test.run();
