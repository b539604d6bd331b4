import { test } from "uvu";
import * as assert from "uvu/assert";
import { MAX_HOLD_MS } from "./constants.ts";
import { getHoldMs } from "./get_hold_ms.ts";
import {
  isCrashAttributed,
  needsTrial,
  recordCrashes,
} from "./record_crashes.ts";
import { refuteCrashes } from "./refute_crashes.ts";
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

const PART = "part:a1";
const OTHER_PART = "part:b2";

function partCrash(
  requestKey: string,
  engineId: string,
  fields: Partial<JudgedReport> = {},
): JudgedReport {
  return { requestKey, engineId, isTrial: false, ...fields };
}

test("a run sent before a part's last crash was known adds nothing to it", () => {
  const cases = recordCrashes(NONE, [
    partCrash(PART, "e1", { knownCrashes: 0 }),
    partCrash(PART, "e2", { knownCrashes: 0 }),
    partCrash(PART, "e3", { knownCrashes: 1 }),
  ]);
  assert.equal(cases.get(PART)?.engineIds, ["e1", "e3"]);
});

test("a conviction is withdrawn when another part explains its crash", () => {
  const cases = recordCrashes(NONE, [
    ...["e1", "e2"].flatMap((engineId) => [
      partCrash(PART, engineId),
      partCrash(OTHER_PART, engineId),
    ]),
    partCrash(OTHER_PART, "e8"),
    partCrash(PART, "e3", { isTrial: true }),
    partCrash(OTHER_PART, "e9"),
    partCrash(OTHER_PART, "e3"),
  ]);
  assert.is(cases.get(PART)?.convictions, 1);
  const later = recordCrashes(cases, [
    partCrash(OTHER_PART, "e4", { isTrial: true }),
  ]);
  assert.is(later.get(OTHER_PART)?.convictions, 1);
  assert.is(later.get(PART)?.convictions, 0);
});

test("parts convicted together are freed when one of them is proved", () => {
  const both = [PART, OTHER_PART];
  const cases = recordCrashes(NONE, [
    ...both.map((key) => partCrash(key, "e1")),
    ...both.map((key) => partCrash(key, "e2")),
    partCrash(PART, "e3", { isTrial: true, alsoOnTrial: [OTHER_PART] }),
    partCrash(OTHER_PART, "e3", { isTrial: true, alsoOnTrial: [PART] }),
  ]);
  assert.equal(cases.get(PART)?.heldWith, [OTHER_PART]);
  assert.equal(cases.get(OTHER_PART)?.heldWith, [PART]);
  const proofs = ["e1", "e2", "e3"]
    .map((engineId) => ({ requestKey: OTHER_PART, engineId }));
  const left = refuteCrashes(cases, proofs);
  assert.equal([...left.keys()], [PART]);
  assert.equal(left.get(PART)?.heldWith, []);
});

test("a part that stays deadly gets three trials a day", () => {
  const holds = [1, 2, 3, 4].map((count) => getHoldMs(count, { isPart: true }));
  const DAY_MS = 86_400_000;
  const thirdTrialMs = holds[0] + holds[1] + holds[2];
  assert.ok(thirdTrialMs < DAY_MS);
  assert.ok(thirdTrialMs + holds[3] > DAY_MS);
});

test.run();
