import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { createRunPermit } from "./create_run_permit.ts";
import { makeEngineView } from "./engine_view.ts";
import { makeRateLimits } from "../../test/support/make_rate_limits.ts";
import type { Call, ServingContext } from "./types.ts";

const CALL = { service: "s", requestKey: "k" } as Call;

function makePermit(usable: string[]) {
  const wishes: (readonly string[])[] = [];
  const ended: string[] = [];
  const context = {
    quarantine: {
      judge: () => ({ type: "trial" }),
      takeTrial({ engineIds }: { engineIds: readonly string[] }) {
        wishes.push(engineIds);
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
  return { permit: createRunPermit(CALL, context), wishes, ended };
}

test("a trial at an upstream that rests by now ends, and is asked for elsewhere", () => {
  // The table lists nobody who rests.
  const usable = ["a", "b"];
  const { permit, wishes, ended } = makePermit(usable);
  const excluded = new Set<string>();
  assert.equal(permit.ask({ excluded }), { type: "go", trialEngineId: "a" });
  usable.shift();
  assert.equal(permit.ask({ excluded }), { type: "go", trialEngineId: "b" });
  assert.equal(wishes, [["a", "b"], ["b"]]);
  assert.equal(ended, ["k"]);
});

test("a trial that has its upstream still is not asked for again", () => {
  const { permit, wishes } = makePermit(["a"]);
  const excluded = new Set<string>();
  permit.ask({ excluded });
  permit.ask({ excluded });
  assert.is(wishes.length, 1);
});

test.run();
