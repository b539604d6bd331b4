import { test } from "uvu";
import * as assert from "uvu/assert";
import type { UpstreamHead } from "./protocol.ts";
import { handleRefusal } from "./handle_refusal.ts";
import type { Call, ServingContext } from "./types.ts";

const CALL = { service: "s", request: { requestId: "r" } } as Call;

const PATH = [
  { engineId: "e1", address: "e1:80", fromLayer: 0, toLayer: 4 },
  { engineId: "e2", address: "e2:80", fromLayer: 4, toLayer: 8 },
];

function refuse(head: Partial<UpstreamHead>, { tookMs = 2 } = {}) {
  const seen = {
    full: [] as string[],
    suspected: [] as string[],
    asked: [] as string[],
    resting: [] as string[],
  };
  const context = {
    engines: {
      noteFull: (id: string) => void seen.full.push(id),
      suspect: (id: string) => void seen.suspected.push(id),
      listUsable: () => [],
      listBackedOff: () => [],
    },
    notices: { record: (id: string) => void seen.resting.push(id) },
    runMonitor: {
      checkEngine: (one: { engineId: string }) =>
        void seen.asked.push(one.engineId),
    },
    throttle: { noteBackOff: () => {} },
    getTable: () => undefined,
    now: () => tookMs,
    log: () => {},
  } as unknown as ServingContext;
  const sent = { path: PATH, sentMs: 0 };
  const full = { status: 503, isLeaving: false, ...head } as UpstreamHead;
  const faulty = handleRefusal(CALL, context, { sent, head: full });
  return { ...seen, faulty };
}

test("a full engine is excluded for a while and checked", () => {
  const { faulty, full, suspected, asked } = refuse({});
  assert.is(faulty, "e1");
  assert.equal([full, suspected, asked], [["e1"], [], ["e1"]]);
});

test("an engine that asks for a back-off is neither checked nor suspected, however late", () => {
  for (const tookMs of [2, 5_000]) {
    const { full, suspected, asked } = refuse({ backOffMs: 300 }, { tookMs });
    assert.equal([full, suspected, asked], [["e1"], [], []]);
  }
});

test("an engine named as at fault is backed off as long as the one that answered", () => {
  const head = { backOffMs: 300, faultAddress: "e2:80" };
  const { faulty, resting, suspected } = refuse(head);
  assert.is(faulty, "e2");
  assert.equal([resting, suspected], [["e2"], []]);
});

test("an engine named in a late answer is suspected, even if the answer asks for a back-off", () => {
  const head = { backOffMs: 300, faultAddress: "e2:80" };
  const { suspected } = refuse(head, { tookMs: 2_100 });
  assert.equal(suspected, ["e2"]);
});

test("an engine that is not the intended one is suspected", () => {
  assert.equal(refuse({ status: 421 }).suspected, ["e1"]);
});

test.run();
