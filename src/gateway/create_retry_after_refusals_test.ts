import { test } from "uvu";
import * as assert from "uvu/assert";
import type { CallEnd } from "./create_call_end.ts";
import { createRetryAfterRefusals } from "./create_retry_after_refusals.ts";
import type { Call, ServingContext } from "./types.ts";

const CALL = { request: { requestId: "r" }, service: "s" } as Call;

function makeRefusals(slotMs: number) {
  const refused: Parameters<CallEnd["refuse"]>[0][] = [];
  const logged: object[] = [];
  const context = {
    limitRetryAfterSchedule: { getWaitMs: () => slotMs },
    log: (_name: string, fields: object) => void logged.push(fields),
  } as unknown as ServingContext;
  const refusals = createRetryAfterRefusals(CALL, context, {
    callEnd: {
      refuse: (refusal) => void refused.push(refusal),
    } as CallEnd,
    getProgress: () => ({ tries: 2, runs: 0 }),
  });
  return { refused, logged, ...refusals };
}

test("a caller retries in its slot, and not before a send is available", () => {
  const later = makeRefusals(900);
  later.refuseForLimit(200.5);
  const sooner = makeRefusals(100);
  sooner.refuseForLimit(200.5);
  const waits = [...later.refused, ...sooner.refused]
    .map(({ retryAfterMs }) => retryAfterMs);
  assert.equal(waits, [900, 201]);
  assert.is(later.refused[0].reason, "limited");
  assert.is(later.refused[0].status, 503);
});

test("a refusal for back-offs passes on the given wait", () => {
  const { refused, logged, refuseForBackOff } = makeRefusals(900);
  refuseForBackOff(1_200);
  assert.equal(refused, [
    { status: 503, reason: "resting", retryAfterMs: 1_200 },
  ]);
  assert.equal(logged, [{
    requestId: "r",
    reason: "resting",
    tries: 2,
    runs: 0,
    retryAfterMs: 1_200,
  }]);
});

test.run();
