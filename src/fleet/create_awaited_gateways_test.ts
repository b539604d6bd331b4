import { test } from "uvu";
import * as assert from "uvu/assert";
import { createAwaitedGateways } from "./create_awaited_gateways.ts";
import type { GatewayRecord } from "./messages.ts";

const TIMES = { silenceMs: 1_000, maxWaitMs: 5_000 };

function makeGateways(count: number): GatewayRecord[] {
  return Array.from({ length: count }, (_, at) => ({
    vm: `g${at}`,
    place: "a",
    address: `g${at}:80`,
    isReady: true,
  }));
}

function startWaiting(count: number) {
  let nowMs = 0;
  const awaited = createAwaitedGateways({
    ...TIMES,
    now: () => nowMs,
    log: () => {},
  });
  awaited.expect(makeGateways(count));
  const pass = (ms: number) => {
    nowMs += ms;
    awaited.tick();
    return awaited.list().length;
  };
  return { awaited, pass };
}

test("those that stay away are given up after the silence", () => {
  const { awaited, pass } = startWaiting(3);
  awaited.noteBack("g0");
  assert.is(pass(TIMES.silenceMs - 1), 2);
  assert.is(pass(1), 0);
});

test("each return shows that others may still be on their way", () => {
  const { awaited, pass } = startWaiting(4);
  for (const vm of ["g0", "g1", "g2"]) {
    assert.ok(pass(TIMES.silenceMs - 1) > 0);
    awaited.noteBack(vm);
  }
  assert.equal(awaited.list().map(({ vm }) => vm), ["g3"]);
  awaited.noteBack("g3");
  assert.equal(awaited.list(), []);
});

test("gateways that come one by one don't extend the wait without end", () => {
  const { awaited, pass } = startWaiting(20);
  const stepMs = TIMES.silenceMs / 2;
  for (let at = 0; at * stepMs < TIMES.maxWaitMs; at++) {
    assert.ok(awaited.list().length > 0);
    awaited.noteBack(`g${at}`);
    pass(stepMs);
  }
  assert.equal(awaited.list(), []);
});

test("who comes without having been recorded shows nothing of the others", () => {
  const { awaited, pass } = startWaiting(2);
  pass(TIMES.silenceMs - 1);
  awaited.noteBack("new");
  assert.is(pass(1), 0);
});

test.run();
