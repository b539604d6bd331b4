import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRolloutTracker } from "./create_rollout_tracker.ts";

function startRollout() {
  let nowMs = 0;
  const inForce: unknown[] = [];
  const rollout = createRolloutTracker({
    now: () => nowMs,
    log: (_event, fields) => void inForce.push(fields),
    metrics: { gauge: () => {}, timing: () => {} },
  });
  return { rollout, inForce, passMs: (ms: number) => void (nowMs += ms) };
}

test("a version is in force once the last gateway has applied it", () => {
  const { rollout, inForce, passMs } = startRollout();
  for (const vm of ["a", "b"]) rollout.onApplied(vm, 3);
  rollout.onAccepted(5);
  passMs(120);
  rollout.onApplied("a", 5);
  assert.equal(rollout.listLagging(), ["b"]);
  passMs(80);
  rollout.onApplied("b", 5);
  assert.equal(inForce, [
    { version: 5, tookMs: 200, gateways: 2, lastVm: "b" },
  ]);
});

test("a departed gateway does not hold up a rollout", () => {
  const { rollout, inForce } = startRollout();
  for (const vm of ["a", "b"]) rollout.onApplied(vm, 3);
  rollout.onAccepted(5);
  rollout.onApplied("a", 5);
  rollout.removeGateway("b");
  assert.is(inForce.length, 1);
});

test.run();
