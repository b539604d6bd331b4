/**
 * How a cluster is formed after a first start that was interrupted.
 */

import { credentials } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { FleetControl } from "../src/fleet/index.ts";
import { wire } from "../src/wire/index.ts";
import {
  listVoterIds,
  prepareControls,
  putConfig,
  startSeeds,
} from "./support/prepare_controls.ts";

async function isAccepted(
  controls: readonly FleetControl[],
): Promise<boolean> {
  const replies = await Promise.all(controls.map((one) => putConfig(one, 1)));
  return replies.some(({ type }) => type === "done");
}

// Guards against a system that never forms: its processes were all killed right after
// their very first start, and no later start formed the cluster.
for (const formedCount of [0, 1, 2]) {
  test(`processes that were killed in their first start form the cluster: ${formedCount} of 3 had formed it`, async () => {
    await using trial = await prepareControls(3);
    const seeds = trial.addresses;
    const options = { seeds, voters: 3 };
    const at = [0, 1, 2];
    // Alone, none of them can win an election.
    for (const index of at.slice(0, formedCount)) {
      const folderName = `disk-${index}`;
      await trial.stop(await trial.start(index, { ...options, folderName }));
    }
    const controls = await Promise.all(at.map((index) =>
      trial.start(index, {
        ...options,
        folderName: `disk-${index}`,
        isFirstStart: false,
      })
    ));
    await until("a change is accepted", () => isAccepted(controls));
    await until("all running replicas are voters", () => {
      const ids = controls.map((one) => one.getState().selfId).sort();
      return controls.every((one) =>
        JSON.stringify(listVoterIds(one)) === JSON.stringify(ids)
      );
    });
    assert.is(await isAccepted(controls), true);
  });
}

function requestToJoin(address: string): Promise<wire.JoinResponse> {
  const client = new wire.PeerClient(address, credentials.createInsecure());
  const request = {
    fleetId: "test",
    clusterId: "",
    replicaId: "other.1",
    vm: "other",
    address: "127.0.0.1:1",
    isObserver: true,
  };
  return new Promise<wire.JoinResponse>((resolve, reject) => {
    client.join(
      request,
      (error, response) => error ? reject(error) : resolve(response),
    );
  }).finally(() => client.close());
}

// Guards against a second cluster beside the first one: replicas with lost disks ask
// their seeds whether there has ever been one.
test("a replica that has seen an election can't form another cluster", async () => {
  await using trial = await prepareControls(3);
  const options = { seeds: trial.addresses, voters: 3 };
  const controls = await startSeeds(trial, options);
  await until("a change is accepted", () => isAccepted(controls));
  await until(
    "all follow the leader",
    () => controls.every((one) => one.getState().term > 0),
  );
  for (const { peerAddress } of trial.addresses) {
    const { formableClusterId } = await requestToJoin(peerAddress);
    assert.is(formableClusterId, "");
  }
  // Alone, it still knows the term of its last election after a restart.
  for (const control of controls) await trial.stop(control);
  const folderName = "1";
  await trial.start(0, { ...options, folderName, isFirstStart: false });
  const [{ peerAddress }] = trial.addresses;
  const { formableClusterId } = await requestToJoin(peerAddress);
  assert.is(formableClusterId, "");
});

test.run();
