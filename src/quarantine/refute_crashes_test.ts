import { test } from "uvu";
import * as assert from "uvu/assert";
import { recordCrashes } from "./record_crashes.ts";
import { refuteCrashes } from "./refute_crashes.ts";

const CASES = recordCrashes(new Map(), [
  { requestKey: "r", engineId: "e1", isTrial: false },
  { requestKey: "r", engineId: "e2", isTrial: false },
  { requestKey: "other", engineId: "e1", isTrial: false },
]);

// A gateway that can't reach some engines would otherwise hold back requests that
// crash nothing.
test("a refuted crash counts against its request no longer, and others are kept", () => {
  const next = refuteCrashes(CASES, [{ requestKey: "r", engineId: "e1" }]);
  assert.equal(next.get("r")?.engineIds, ["e2"]);
  assert.is(next.get("other"), CASES.get("other"));
  const last = refuteCrashes(next, [{ requestKey: "r", engineId: "e2" }]);
  assert.equal([...last.keys()], ["other"]);
});

test("a report that no case has changes nothing", () => {
  const reports = [
    { requestKey: "r", engineId: "e9" },
    { requestKey: "unknown", engineId: "e1" },
  ];
  assert.is(refuteCrashes(CASES, reports), CASES);
});

test("a conviction is withdrawn with the crash that caused it, not with an earlier one", () => {
  const convicted = recordCrashes(CASES, [
    { requestKey: "r", engineId: "e3", isTrial: true },
  ]);
  assert.is(convicted.get("r")?.convictions, 1);
  const refute = (engineId: string) =>
    refuteCrashes(convicted, [{ requestKey: "r", engineId }]).get("r");
  assert.is(refute("e3")?.convictions, 0);
  assert.is(refute("e1")?.convictions, 1);
});

test.run();
