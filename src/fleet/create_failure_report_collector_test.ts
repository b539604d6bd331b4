import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFailureReportCollector } from "./create_failure_report_collector.ts";

/** Data centres of the engines that the leader knows. */
const PLACES: Readonly<Record<string, string>> = { e: "a", other: "a" };

function startCollector() {
  const clock = { nowMs: 0 };
  const collector = createFailureReportCollector({ now: () => clock.nowMs });
  const report = (vm: string, place: string, engineIds: readonly string[]) =>
    collector.add({
      vm,
      place,
      engines: engineIds.map((engineId) => ({
        engineId,
        place: PLACES[engineId],
      })),
    });
  return { clock, report };
}

const FOR_ALL = { engineId: "e", place: "a", isForAllPlaces: true };

test("a failure is confirmed by two gateways of one data centre, not by one or across two", () => {
  const { report } = startCollector();
  assert.equal(report("g1", "a", ["e"]), []);
  assert.equal(report("g1", "a", ["e"]), []);
  assert.equal(report("g2", "b", ["e"]), []);
  assert.equal(report("g3", "a", ["e", "other"]), [FOR_ALL]);
});

test("a confirmed failure is not repeated until its reports expire", () => {
  const { clock, report } = startCollector();
  report("g1", "a", ["e"]);
  assert.equal(report("g2", "a", ["e"]), [FOR_ALL]);
  clock.nowMs = 1_999;
  assert.equal(report("g3", "a", ["e"]), []);
  clock.nowMs = 4_000;
  assert.equal(report("g3", "a", ["e"]), []);
  assert.equal(report("g1", "a", ["e"]), [FOR_ALL]);
});

// A partition between data centres makes gateways report engines that run.
test("a failure that another data centre reports holds only there", () => {
  const { report } = startCollector();
  report("g1", "b", ["e"]);
  const onlyThere = { ...FOR_ALL, isForAllPlaces: false };
  assert.equal(report("g2", "b", ["e"]), [onlyThere]);
  report("g3", "c", ["e"]);
  assert.equal(report("g4", "c", ["e"]), [onlyThere]);
});

// An engine may really fail during a partition: earlier reports from elsewhere must
// not count as the notification of all.
test("reports from elsewhere don't hold back those of the engine's own data centre", () => {
  const { report } = startCollector();
  report("g1", "b", ["e"]);
  report("g2", "b", ["e"]);
  assert.equal(report("g3", "a", ["e"]), []);
  assert.equal(report("g4", "a", ["e"]), [FOR_ALL]);
});

// Every message of a loss goes to hundreds of gateways.
test("reports from elsewhere don't repeat a notification of all", () => {
  const { clock, report } = startCollector();
  report("g1", "a", ["e"]);
  assert.equal(report("g2", "a", ["e"]), [FOR_ALL]);
  report("g3", "b", ["e"]);
  assert.equal(report("g4", "b", ["e"]), []);
  clock.nowMs = 2_000;
  report("g3", "b", ["e"]);
  const onlyThere = { ...FOR_ALL, isForAllPlaces: false };
  assert.equal(report("g4", "b", ["e"]), [onlyThere]);
});

// Without the engine's data centre, nothing shows that the reports don't come from a
// partition.
test("a failure of an engine unknown to the leader holds only for the reporters' data centre", () => {
  const { report } = startCollector();
  report("g1", "a", ["unknown"]);
  assert.equal(report("g2", "a", ["unknown"]), [
    { engineId: "unknown", place: undefined, isForAllPlaces: false },
  ]);
});

test.run();
