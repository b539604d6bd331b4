import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ResourceChange } from "../model/index.ts";
import {
  type ConfigUpdate,
  createConfigReplica,
  getSavedConfig,
} from "./create_config_replica.ts";

function makeChange(revision: number): ResourceChange {
  const name = `account-${revision}`;
  const kind = "clientAccount" as const;
  const spec = { keySha256: ["0".repeat(64)] };
  const resource = { kind, name, spec, revision, generation: 1 };
  return { revision, kind, name, resource };
}

function makeUpdate(
  revisions: readonly number[],
  overrides: Partial<ConfigUpdate> = {},
): ConfigUpdate {
  return {
    clusterId: "c",
    revision: revisions[revisions.length - 1],
    full: false,
    changes: revisions.map(makeChange),
    ...overrides,
  };
}

test("newer changes are applied, older ones are ignored", () => {
  const config = createConfigReplica();
  assert.is(config.applyUpdate(makeUpdate([1, 2])), "applied");
  assert.is(config.applyUpdate(makeUpdate([3])), "applied");
  assert.is(config.applyUpdate(makeUpdate([1, 2])), "stale");
  assert.is(config.applyUpdate(makeUpdate([2], { full: true })), "stale");
  assert.is(config.getState().revision, 3);
  assert.is(config.getState().resources.size, 3);
});

test("an update after a gap is not applied", () => {
  const config = createConfigReplica();
  config.applyUpdate(makeUpdate([1]));
  assert.is(config.applyUpdate(makeUpdate([3])), "gap");
  assert.is(config.getState().revision, 1);
  assert.is(config.applyUpdate(makeUpdate([1, 2, 3])), "applied");
});

test("a full update replaces the whole state", () => {
  const config = createConfigReplica();
  config.applyUpdate(makeUpdate([1, 2]));
  assert.is(config.applyUpdate(makeUpdate([9], { full: true })), "applied");
  assert.is(config.getState().resources.size, 1);
});

test("another cluster's update is rejected, also after loading from disk", () => {
  const config = createConfigReplica();
  config.applyUpdate(makeUpdate([1]));
  const saved = getSavedConfig(config);
  const restarted = createConfigReplica({ saved });
  assert.is(restarted.getState().revision, 1);
  const foreign = makeUpdate([7], { full: true, clusterId: "other" });
  assert.is(restarted.applyUpdate(foreign), "other_cluster");
  assert.is(restarted.applyUpdate(makeUpdate([1])), "stale");
  assert.is(restarted.applyUpdate(makeUpdate([2])), "applied");
});

test.run();
