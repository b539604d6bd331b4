import { test } from "uvu";
import * as assert from "uvu/assert";
import { REACHABLE, stepReachability } from "./step_reachability.ts";
import type { ProbeRound, ReachabilityState } from "./types.ts";

const NONE: ProbeRound = { reached: 0, unreached: 4, atMs: 100 };
const SOME: ProbeRound = { reached: 1, unreached: 3, atMs: 200 };

function stepAll(rounds: readonly ProbeRound[]): ReachabilityState {
  return rounds.reduce(stepReachability, REACHABLE);
}

test("one reached upstream is enough, whatever happened to the others", () => {
  assert.equal(stepAll([SOME, SOME]), REACHABLE);
});

test("a round that reaches no upstream begins a partition, and later ones keep its time", () => {
  const expected = { type: "cutOff", sinceMs: 100, successes: 0 };
  assert.equal(stepAll([NONE]), expected);
  assert.equal(stepAll([NONE, { ...NONE, atMs: 900 }]), expected);
});

test("a partition ends after two successful rounds in a row", () => {
  assert.is(stepAll([NONE, SOME]).type, "cutOff");
  assert.is(stepAll([NONE, SOME, NONE, SOME]).type, "cutOff");
  assert.equal(stepAll([NONE, SOME, SOME]), REACHABLE);
});

test("without any upstream there is nothing to be cut off from", () => {
  assert.equal(stepAll([{ ...NONE, unreached: 0 }]), REACHABLE);
  assert.equal(stepAll([NONE, { ...NONE, unreached: 0 }]), REACHABLE);
});

test.run();
