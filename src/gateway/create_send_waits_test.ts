import { test } from "uvu";
import * as assert from "uvu/assert";
import { createResumeQueue } from "./create_resume_queue.ts";
import { createSendWaits } from "./create_send_waits.ts";

const DEADLINE_MS = 5_000;

/** Waits of a stream that has run; rounds of searches are never run. */
function makeWaits() {
  const clock = { ms: 0 };
  const reasons: string[] = [];
  const waits = createSendWaits({
    capacityWait: { mayWait: () => false },
    relay: { getSilenceMs: () => clock.ms },
    resumeQueue: createResumeQueue({ schedule: () => {} }),
    hasRun: () => true,
    waitForRetry: () => Promise.resolve(false),
    deadlineMs: DEADLINE_MS,
    now: () => clock.ms,
    onCheck: () => {},
    onGiveUp: (reason) => void reasons.push(reason),
  });
  const wait = (leftMs?: number) =>
    waits.waitForPath({ onWait: () => {}, leftMs });
  return { clock, reasons, wait };
}

test("a stream that has run is told at once where no path can come in time", () => {
  const { reasons, wait } = makeWaits();
  wait(DEADLINE_MS - 1);
  assert.equal(reasons, []);
  wait(DEADLINE_MS);
  assert.equal(reasons, ["no path in time"]);
});

test("a search that ends after the deadline leaves the end to the deadline", () => {
  const { clock, reasons, wait } = makeWaits();
  clock.ms = DEADLINE_MS + 1;
  wait();
  assert.equal(reasons, []);
});

test.run();
