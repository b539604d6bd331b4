/** Guards against steps that never end because a stage's answer has no end. */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { ENDLESS_ANSWERS } from "../../test/support/endless_answers.ts";
import { startEndlessServer } from "../../test/support/start_endless_server.ts";
import { callStage, releaseStage, type StageCall } from "./call_stage.ts";
import { createUpstreamClient } from "./create_upstream_client.ts";
import { getDispatchFailure } from "./upstream_error.ts";

for (
  const [kind, fault] of [
    ["chunkedBody", "reset"],
    ["bodyDrip", "timeout"],
  ] as const
) {
  test(`a step whose answer has no end (${kind}) fails`, async () => {
    await using server = await startEndlessServer(() =>
      ENDLESS_ANSWERS[kind]("r")
    );
    await using client = createUpstreamClient();
    const stage = { upstream: "u", layers: { start: 0, end: 1 } };
    const call = {
      address: `http://${server.address}`,
      requestId: "r",
      order: { stage, epoch: 1, position: 0, stageIndex: 0, prefill: false },
      priority: 0,
      timeoutMs: 1_000,
    } as unknown as StageCall;
    const error = await callStage(client, call).catch((thrown) => thrown);
    assert.equal(getDispatchFailure(error), { phase: "answering", fault });
    assert.is(await server.closedBy, "client");
  });
}

test("a release whose answer drips without an end is given up", async () => {
  await using server = await startEndlessServer(() =>
    ENDLESS_ANSWERS.bodyDrip("r")
  );
  await using client = createUpstreamClient();
  const address = `http://${server.address}`;
  await releaseStage(client, { address, requestId: "r", epoch: 1 });
  assert.is(await server.closedBy, "client");
});

test.run();
