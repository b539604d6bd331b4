import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import type { LiveState } from "../model/index.ts";
import { applyLiveChange, EMPTY_LIVE_STATE, getLiveChange } from "./index.ts";

const vm = fc.constantFrom("a", "b", "c", "d", "e");

const liveState = fc.record({
  entries: fc.uniqueArray(
    fc.record({
      vm,
      place: fc.constant("p"),
      address: fc.constantFrom("x", "y"),
      leaving: fc.boolean(),
      overloaded: fc.boolean(),
    }, { noNullPrototype: true }),
    { selector: (entry) => entry.vm },
  ),
  vms: fc.dictionary(
    vm,
    fc.constantFrom("leaving" as const, "missing" as const),
  ),
});

function sort(state: LiveState) {
  const entries = [...state.entries].sort((a, b) => a.vm < b.vm ? -1 : 1);
  return { entries, vms: { ...state.vms } };
}

test("the change between equal states is empty", () => {
  const { entries, goneEntries, vms } = getLiveChange(
    EMPTY_LIVE_STATE,
    EMPTY_LIVE_STATE,
  );
  assert.equal([entries, goneEntries, vms], [[], [], {}]);
});

test("applying the change between two states yields the second one", () => {
  fc.assert(
    fc.property(fc.array(liveState, { maxLength: 6 }), (states) => {
      let published: LiveState | undefined;
      let received = EMPTY_LIVE_STATE;
      for (const state of states) {
        received = applyLiveChange(received, getLiveChange(published, state));
        published = state;
        assert.equal(sort(received), sort(state));
      }
    }),
    { seed: 5 },
  );
});

test.run();
