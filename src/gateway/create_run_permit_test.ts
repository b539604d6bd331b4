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
      judge: () => ({ type: "trial" }),
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

test.run();
