import { test } from "uvu";
import * as assert from "uvu/assert";
import { createFailureReportCollector } from "./create_failure_report_collector.ts";

function startCollector() {
  const clock = { nowMs: 0 };
  const collector = createFailureReportCollector({ now: () => clock.nowMs });
  const report = (vm: string, place: string, engineIds: readonly string[]) =>
    collector.add({ vm, place, engineIds });
  return { clock, report };
}

test("a failure is confirmed by two gateways of one data centre, not by one or across two", () => {
  const { report } = startCollector();
  assert.equal(report("g1", "a", ["e"]), []);
  assert.equal(report("g1", "a", ["e"]), []);
  assert.equal(report("g2", "b", ["e"]), []);
  assert.equal(report("g3", "a", ["e", "other"]), ["e"]);
});

test("a confirmed failure is not repeated until its reports expire", () => {
  const { clock, report } = startCollector();
  report("g1", "a", ["e"]);
  assert.equal(report("g2", "a", ["e"]), ["e"]);
  assert.equal(report("g3", "a", ["e"]), []);
  clock.nowMs = 2_500;
  assert.equal(report("g3", "a", ["e"]), []);
  assert.equal(report("g1", "a", ["e"]), ["e"]);
});

test.run();
