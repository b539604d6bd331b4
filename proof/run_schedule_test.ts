import { test } from "uvu";
import * as assert from "uvu/assert";
import { runSchedule } from "./run_schedule.ts";
import { SABOTAGES } from "./schedule_replica.ts";

for (let seed = 1; seed <= 12; seed++) {
  test(`schedule ${seed} of three replicas keeps every promise`, () => {
    const report = runSchedule({ seed });
    assert.ok(report.committed > 100);
    assert.ok(report.changesAccepted > 20);
  });
}

for (let seed = 101; seed <= 104; seed++) {
  test(`schedule ${seed} of five replicas keeps every promise`, () => {
    assert.ok(runSchedule({ seed, replicas: 5 }).committed > 100);
  });
}

// The learner of seed 1000 was promoted without knowing it and kept its vote
// back: nobody could be elected.
test("a learner that does not know of its promotion votes", () => {
  assert.ok(runSchedule({ seed: 1000 }).committed > 100);
});

for (const sabotage of SABOTAGES) {
  test(`a schedule catches the sabotage ${sabotage}`, () => {
    let caught = 0;
    for (let seed = 1; seed <= 60 && caught === 0; seed++) {
      try {
        runSchedule({ seed, sabotage });
      } catch {
        caught += 1;
      }
    }
    assert.is(caught, 1);
  });
}

test.run();
