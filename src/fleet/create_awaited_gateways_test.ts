import { test } from "uvu";
import * as assert from "uvu/assert";
import { createAwaitedGateways } from "./create_awaited_gateways.ts";
import type { GatewayRecord } from "./messages.ts";

const TIMEOUTS = { returnTimeoutMs: 1_000, maxWaitMs: 5_000 };

function makeGateways(count: number): GatewayRecord[] {
  return Array.from({ length: count }, (_, at) => ({
    vm: `g${at}`,
    place: "a",
    address: `g${at}:80`,
    isReady: true,
  }));
}

function startAwaiting(count: number) {
  let nowMs = 0;
  const awaited = createAwaitedGateways({
    ...TIMEOUTS,
    now: () => nowMs,
    log: () => {},
  });
  awaited.beginWait(makeGateways(count));
  const advance = (ms: number) => {
    nowMs += ms;
    awaited.tick();
    return awaited.list().length;
  };
  return { awaited, advance };
}

test("missing gateways are given up when none has returned for the time-out", () => {
  const { awaited, advance } = startAwaiting(3);
  awaited.noteReturned("g0");
  assert.is(advance(TIMEOUTS.returnTimeoutMs - 1), 2);
  assert.is(advance(1), 0);
});

test("each gateway that returns restarts the time-out", () => {
  const { awaited, advance } = startAwaiting(4);
  for (const vm of ["g0", "g1", "g2"]) {
    assert.ok(advance(TIMEOUTS.returnTimeoutMs - 1) > 0);
    awaited.noteReturned(vm);
  }
  assert.equal(awaited.list().map(({ vm }) => vm), ["g3"]);
  awaited.noteReturned("g3");
  assert.equal(awaited.list(), []);
});

test("gateways that return one by one extend the wait only up to its bound", () => {
  const { awaited, advance } = startAwaiting(20);
  const stepMs = TIMEOUTS.returnTimeoutMs / 2;
  for (let at = 0; at * stepMs < TIMEOUTS.maxWaitMs; at++) {
    assert.ok(awaited.list().length > 0);
    awaited.noteReturned(`g${at}`);
    advance(stepMs);
  }
  assert.equal(awaited.list(), []);
});

test("a gateway that was not recorded doesn't restart the time-out", () => {
  const { awaited, advance } = startAwaiting(2);
  advance(TIMEOUTS.returnTimeoutMs - 1);
  awaited.noteReturned("new");
  assert.is(advance(1), 0);
});

test.run();
