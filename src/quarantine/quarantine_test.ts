import { test } from "uvu";
import * as assert from "uvu/assert";
import { MAX_HOLD_MS } from "./constants.ts";
import { getHoldMs } from "./get_hold_ms.ts";
import {
  isCrashAttributed,
  needsTrial,
  recordCrashes,
} from "./record_crashes.ts";
import type { CrashCases, JudgedReport } from "./types.ts";

const NONE: CrashCases = new Map();

function crash(
  requestKey: string,
  engineId: string,
  isTrial = false,
): JudgedReport {
  return { requestKey, engineId, isTrial };
}

test("a crash counts once, however many reports there are", () => {
  const cases = recordCrashes(NONE, [crash("r", "e1"), crash("r", "e1")]);
  assert.equal(cases.get("r")?.engineIds, ["e1"]);
  assert.not.ok(needsTrial({ engineIds: ["e1"] }));
  assert.is(recordCrashes(cases, [crash("r", "e1")]), cases);
});

test("nine upstreams that fail at once lead to no conviction", () => {
  const reports = Array.from({ length: 9 }, (_, at) => crash("r", `e${at}`));
  const one = recordCrashes(NONE, reports).get("r");
  assert.is(one?.convictions, 0);
  assert.ok(one && needsTrial(one));
});

test("a conviction clears requests that ran on the same upstreams", () => {
  const beside = ["e1", "e2", "e3"].flatMap((engineId) => [
    crash("guilty", engineId),
    crash("beside", engineId),
  ]);
  const cases = recordCrashes(NONE, [
    ...beside.slice(0, 4),
    crash("beside", "e9"),
    crash("other", "e8"),
    crash("guilty", "e3", true),
    crash("beside", "e3"),
    crash("late", "e2"),
  ]);
  assert.is(cases.get("guilty")?.convictions, 1);
  assert.ok(isCrashAttributed(cases, "e1"));
  assert.equal(cases.get("beside")?.engineIds, ["e9"]);
  assert.equal(cases.get("other")?.engineIds, ["e8"]);
  assert.not.ok(cases.has("late"));
});

test("the number of cases is bounded, and convictions are evicted last", () => {
  const convicted = [crash("g", "a"), crash("g", "b"), crash("g", "c", true)];
  const many = Array.from({ length: 20 }, (_, at) => crash(`r${at}`, `e${at}`));
  const cases = recordCrashes(NONE, [...convicted, ...many], { maxCases: 5 });
  assert.equal([...cases.keys()], ["g", "r16", "r17", "r18", "r19"]);
});

test("the hold doubles with each conviction, up to a maximum", () => {
  assert.is(getHoldMs(0), 0);
  assert.is(getHoldMs(2), 2 * getHoldMs(1));
  assert.is(getHoldMs(50), MAX_HOLD_MS);
});

test.run();
