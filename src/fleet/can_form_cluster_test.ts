import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ClusterFormation } from "../control/index.ts";
import { canFormCluster } from "./can_form_cluster.ts";
import type { FleetSeed } from "./open_fleet_storage.ts";
import { planInitialCluster } from "./plan_initial_cluster.ts";

function makeSeed(name: string): FleetSeed {
  return { callerAddress: `${name}:1`, peerAddress: `${name}:2` };
}

const SEEDS = ["a", "b", "c"].map(makeSeed);

const { clusterId } = planInitialCluster(SEEDS);

const EMPTY = { formableClusterId: clusterId, startedEmpty: true };

const FORMED = { formableClusterId: clusterId, startedEmpty: false };

const IN_USE = { formableClusterId: "", startedEmpty: false };

function canForm(
  answers: Record<string, ClusterFormation>,
  { seeds = SEEDS, toleratedLosses = 1 } = {},
): boolean {
  return canFormCluster({
    self: SEEDS[0],
    seeds,
    answers: new Map(Object.entries(answers)),
    toleratedLosses,
  });
}

test("seeds without a cluster form one", () => {
  assert.is(canForm({ "b:2": EMPTY, "c:2": EMPTY }), true);
});

test("two seeds without a cluster follow one that has formed it unseen", () => {
  assert.is(canForm({ "b:2": EMPTY, "c:2": FORMED }), true);
});

// Guards against a second cluster beside the one whose disks are lost.
test("no cluster is formed where the empty folders may be lost disks", () => {
  assert.is(canForm({ "b:2": FORMED, "c:2": FORMED }), false);
  const answers = { "b:2": EMPTY, "c:2": FORMED };
  assert.is(canForm(answers, { toleratedLosses: 2 }), false);
});

// Guards against a second cluster beside one that has accepted something.
test("no cluster is formed beside a seed that has seen an election", () => {
  assert.is(canForm({ "b:2": EMPTY, "c:2": IN_USE }), false);
});

test("no cluster is formed while a seed does not answer", () => {
  assert.is(canForm({ "b:2": EMPTY }), false);
});

// Guards against two clusters of overlapping seeds.
test("no cluster is formed with a seed that has other seeds", () => {
  const other = planInitialCluster([...SEEDS.slice(0, 2), makeSeed("d")]);
  const answer = { formableClusterId: other.clusterId, startedEmpty: true };
  assert.is(canForm({ "b:2": EMPTY, "c:2": answer }), false);
});

test("a process that is no seed forms no cluster", () => {
  const seeds = ["b", "c"].map(makeSeed);
  const { clusterId } = planInitialCluster(seeds);
  const answer = { formableClusterId: clusterId, startedEmpty: true };
  assert.is(canForm({ "b:2": answer, "c:2": answer }, { seeds }), false);
});

test.run();
