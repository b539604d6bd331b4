import { test } from "uvu";
import * as assert from "uvu/assert";
import fc from "fast-check";
import type { LiveState } from "../model/index.ts";
import { EMPTY_LIVE_STATE, getLiveChange, takeLiveChange } from "./index.ts";

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

test("nothing has changed in a state that is the same", () => {
  const { entries, goneEntries, vms } = getLiveChange(
    EMPTY_LIVE_STATE,
    EMPTY_LIVE_STATE,
  );
  assert.equal([entries, goneEntries, vms], [[], [], {}]);
});

test("the changes from one state to the next lead there", () => {
  fc.assert(
    fc.property(fc.array(liveState, { maxLength: 6 }), (states) => {
      let told: LiveState | undefined;
      let held = EMPTY_LIVE_STATE;
      for (const state of states) {
        held = takeLiveChange(held, getLiveChange(told, state));
        told = state;
        assert.equal(sort(held), sort(state));
      }
    }),
    { seed: 5 },
  );
});

test.run();
