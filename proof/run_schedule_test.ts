import { test } from "uvu";
import * as assert from "uvu/assert";
import { runSchedule } from "./run_schedule.ts";
import { INJECTED_FAULTS } from "./schedule_replica.ts";

for (let seed = 1; seed <= 12; seed++) {
  test(`schedule ${seed} of three replicas upholds all invariants`, () => {
    const report = runSchedule({ seed });
    assert.ok(report.committed > 100);
    assert.ok(report.changesAccepted > 20);
  });
}

for (let seed = 101; seed <= 104; seed++) {
  test(`schedule ${seed} of five replicas upholds all invariants`, () => {
    assert.ok(runSchedule({ seed, replicas: 5 }).committed > 100);
  });
}

// Guards against a failed election: a learner that had been promoted without knowing
// it withheld its vote, so no leader could be elected (seed 1000).
test("a learner that does not know of its promotion votes", () => {
  assert.ok(runSchedule({ seed: 1000 }).committed > 100);
});

for (const injectedFault of INJECTED_FAULTS) {
  test(`a schedule detects the injected fault ${injectedFault}`, () => {
    let detected = 0;
    for (let seed = 1; seed <= 60 && detected === 0; seed++) {
      try {
        runSchedule({ seed, injectedFault });
      } catch {
        detected += 1;
      }
    }
    assert.is(detected, 1);
  });
}

test.run();
