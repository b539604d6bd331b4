import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { createRunPermit } from "./create_run_permit.ts";
import { makeEngineView } from "./engine_view.ts";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import type { Call, ServingContext } from "./types.ts";

const CALL = { service: "s", requestKey: "k" } as Call;

function makePermit(usable: string[]) {
  const requested: (readonly string[])[] = [];
  const ended: string[] = [];
  const context = {
    quarantine: {
      judge: () => ({ type: "trial", requestKey: "k" }),
      takeTrial({ engineIds }: { engineIds: readonly string[] }) {
        requested.push(engineIds);
        return engineIds[0];
      },
      endTrial: (key: string) => void ended.push(key),
    },
    engines: {
      listUsable: () =>
        usable.map((engineId) => makeEngineView(makeEngineRecord(engineId))),
    },
    rateLimits: makeRateLimits(),
    getTable: () => undefined,
    now: () => 0,
  } as unknown as ServingContext;
  return { permit: createRunPermit(CALL, context), requested, ended };
}

/** A permit whose trial is never granted. */
function makeWaitingPermit() {
  const clock = { ms: 0 };
  const context = {
    quarantine: {
      judge: () => ({ type: "trial", requestKey: "k" }),
      takeTrial: () => undefined,
      endTrial: () => {},
    },
    engines: { listUsable: () => [] },
    rateLimits: makeRateLimits(),
    getTable: () => undefined,
    now: () => clock.ms,
  } as unknown as ServingContext;
  return { permit: createRunPermit(CALL, context), clock };
}

test("a trial on an upstream that is now backed off ends, and is requested elsewhere", () => {
  // The engine table does not list backed-off upstreams.
  const usable = ["a", "b"];
  const { permit, requested, ended } = makePermit(usable);
  const excluded = new Set<string>();
  assert.equal(permit.request({ excluded }), {
    type: "go",
    trialEngineId: "a",
  });
  usable.shift();
  assert.equal(permit.request({ excluded }), {
    type: "go",
    trialEngineId: "b",
  });
  assert.equal(requested, [["a", "b"], ["b"]]);
  assert.equal(ended, ["k"]);
});

test("a trial whose upstream is still usable is not requested again", () => {
  const { permit, requested } = makePermit(["a"]);
  const excluded = new Set<string>();
  permit.request({ excluded });
  permit.request({ excluded });
  assert.is(requested.length, 1);
});

test("a request that has run waits for its trial as long as it may", () => {
  const { permit, clock } = makeWaitingPermit();
  const excluded = new Set<string>();
  const request = (maxTrialWaitMs?: number) =>
    permit.request({ excluded, maxTrialWaitMs }).type;
  assert.is(request(), "wait");
  clock.ms = 1_500;
  assert.is(request(), "held");
  assert.is(request(Infinity), "wait");
});

test.run();
