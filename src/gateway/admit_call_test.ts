import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { admitCall } from "./admit_call.ts";
import { noteBackOff } from "./note_back_off.ts";
import { makeEngineView } from "./engine_view.ts";
import type { Call, ServingContext } from "./types.ts";

const CALL = { service: "s" } as Call;

function makeView(engineId: string, inFlight: number) {
  return { ...makeEngineView(makeEngineRecord(engineId)), inFlight };
}

function makeContext(options: {
  readonly usable: readonly number[];
  readonly resting?: number;
  readonly waitMs?: number;
}) {
  const { usable, resting = 0, waitMs } = options;
  const shares: number[] = [];
  const context = {
    engines: {
      listUsable: () => usable.map((busy, at) => makeView(`u${at}`, busy)),
      listBackedOff: () =>
        Array.from({ length: resting }, (_, at) => makeView(`r${at}`, 0)),
    },
    getTable: () => undefined,
    throttle: {
      isLimited: () => true,
      admit: () => waitMs,
      noteBackOff: (_service: string, state: { backedOffShare: number }) =>
        void shares.push(state.backedOffShare),
    },
    random: () => 0,
  } as unknown as ServingContext;
  return { context, shares };
}

test("no call is limited while upstreams that aren't backed off have free capacity", () => {
  const { context } = makeContext({ usable: [1, 2], waitMs: 500 });
  assert.is(admitCall(CALL, context), undefined);
});

test("where upstreams are busy, calls are rejected with a retry-after", () => {
  const busy = makeContext({ usable: [3, 2], waitMs: 500 });
  assert.is(admitCall(CALL, busy.context), 500);
  const soon = makeContext({ usable: [3, 2], waitMs: 10 });
  assert.is(admitCall(CALL, soon.context), 300);
  const free = makeContext({ usable: [4, 4] });
  assert.is(admitCall(CALL, free.context), undefined);
});

test("where all upstreams are backed off, the throttle doesn't apply", () => {
  const { context } = makeContext({ usable: [], waitMs: 500 });
  assert.is(admitCall(CALL, context), undefined);
});

test("the throttle receives the share of a service's upstreams that is backed off", () => {
  const { context, shares } = makeContext({ usable: [0, 0, 0], resting: 1 });
  noteBackOff(CALL, context);
  assert.equal(shares, [0.25]);
});

test.run();
