import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  applyChange,
  type ChangeCommand,
  createResourceState,
  getChangesSince,
  getResourceStateData,
  MAX_HISTORY_CHANGES,
  parseResourceStateData,
  type ResourceState,
} from "./index.ts";

function makeChange(overrides: Partial<ChangeCommand> = {}): ChangeCommand {
  return {
    type: "change",
    changeId: "c1",
    operator: "on-call",
    action: "put",
    kind: "clientAccount",
    name: "dock",
    spec: { keySha256: ["0".repeat(64)], weight: 1 },
    expectedRevision: 0,
    ...overrides,
  };
}

function applyAll(commands: readonly ChangeCommand[]): ResourceState {
  return commands.reduce(
    (state, command) => applyChange(state, command).state,
    createResourceState(),
  );
}

test("the first change has revision 1 and generation 1", () => {
  const { state, result } = applyChange(createResourceState(), makeChange());
  assert.equal(result, { accepted: true, revision: 1 });
  assert.is(state.resources.get("clientAccount/dock")?.generation, 1);
});

test("of two changes that expect the same revision the first wins, the other gets the differing fields", () => {
  const state = applyAll([makeChange()]);
  const change = (changeId: string, weight: number) =>
    makeChange({
      changeId,
      expectedRevision: 1,
      spec: { keySha256: ["0".repeat(64)], weight },
    });
  const first = applyChange(state, change("c2", 2));
  const second = applyChange(first.state, change("c3", 3));
  assert.ok(first.result.accepted);
  assert.not(second.result.accepted);
  if (second.result.accepted) return;
  assert.is(second.result.reason, "conflict");
  assert.is(second.result.currentRevision, 2);
  assert.equal(second.result.differs, ["weight"]);
});

test("a retried change gets the first answer, also after a restore from a snapshot", () => {
  const state = applyAll([
    makeChange(),
    makeChange({ changeId: "c2", expectedRevision: 1 }),
  ]);
  const text = JSON.stringify(getResourceStateData(state));
  const restored = parseResourceStateData(JSON.parse(text));
  for (const one of [state, restored]) {
    const again = applyChange(one, makeChange());
    assert.equal(again.result, { accepted: true, revision: 1 });
    assert.is(again.change, undefined);
    assert.is(again.state.revision, 2);
  }
});

test("a change id that was used for another change is rejected", () => {
  const state = applyAll([makeChange()]);
  const { result } = applyChange(state, makeChange({ name: "other" }));
  assert.ok(!result.accepted && result.reason === "change_id_reused");
});

test("an invalid spec is rejected with a message that names each field", () => {
  const { result } = applyChange(
    createResourceState(),
    makeChange({ spec: { keySha256: [], wieght: 1 } }),
  );
  assert.not(result.accepted);
  if (result.accepted) return;
  assert.match(result.detail, /keySha256: found \[\]/);
  assert.match(result.detail, /wieght: found 1, allowed is no such field/);
});

test("a deleted resource is removed and can't be deleted again", () => {
  const remove = makeChange({
    changeId: "c2",
    action: "delete",
    expectedRevision: 1,
  });
  const state = applyAll([makeChange(), remove]);
  assert.is(state.resources.size, 0);
  assert.is(state.revision, 2);
  const again = applyChange(state, { ...remove, changeId: "c3" });
  assert.ok(!again.result.accepted && again.result.reason === "not_found");
});

test("changes since a revision are in order and without gaps; undefined if some are no longer kept", () => {
  const commands = Array.from(
    { length: MAX_HISTORY_CHANGES + 10 },
    (_v, at) => makeChange({ changeId: `c${at}`, expectedRevision: at }),
  );
  const state = applyAll(commands);
  const { revision } = state;
  const last = getChangesSince(state, revision - 3);
  assert.equal(last?.map((change) => change.revision), [
    revision - 2,
    revision - 1,
    revision,
  ]);
  assert.equal(getChangesSince(state, revision), []);
  assert.is(getChangesSince(state, 5), undefined);
  assert.is(getChangesSince(state, revision + 1), undefined);
});

test.run();
