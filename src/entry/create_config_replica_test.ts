import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ResourceChange } from "../model/index.ts";
import {
  type ConfigPiece,
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

function makePiece(
  revisions: readonly number[],
  overrides: Partial<ConfigPiece> = {},
): ConfigPiece {
  return {
    clusterId: "c",
    revision: revisions[revisions.length - 1],
    full: false,
    changes: revisions.map(makeChange),
    ...overrides,
  };
}

test("changes that follow are applied, older ones are not", () => {
  const config = createConfigReplica();
  assert.is(config.take(makePiece([1, 2])), "applied");
  assert.is(config.take(makePiece([3])), "applied");
  assert.is(config.take(makePiece([1, 2])), "stale");
  assert.is(config.take(makePiece([2], { full: true })), "stale");
  assert.is(config.getState().revision, 3);
  assert.is(config.getState().resources.size, 3);
});

test("a gap is no step", () => {
  const config = createConfigReplica();
  config.take(makePiece([1]));
  assert.is(config.take(makePiece([3])), "gap");
  assert.is(config.getState().revision, 1);
  assert.is(config.take(makePiece([1, 2, 3])), "applied");
});

test("a whole state replaces what was there", () => {
  const config = createConfigReplica();
  config.take(makePiece([1, 2]));
  assert.is(config.take(makePiece([9], { full: true })), "applied");
  assert.is(config.getState().resources.size, 1);
});

test("another cluster is refused, also after a restart from the disk", () => {
  const config = createConfigReplica();
  config.take(makePiece([1]));
  const saved = getSavedConfig(config);
  const again = createConfigReplica({ saved });
  assert.is(again.getState().revision, 1);
  const foreign = makePiece([7], { full: true, clusterId: "other" });
  assert.is(again.take(foreign), "other_cluster");
  assert.is(again.take(makePiece([1])), "stale");
  assert.is(again.take(makePiece([2])), "applied");
});

test.run();
