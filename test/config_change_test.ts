/**
 * A gateway that receives a configuration change whose base version it doesn't have.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { decodeConfig } from "../platform/decode_config.ts";
import {
  getConfigDigest,
  type LeaderMessage,
  packDocument,
} from "../src/fleet/index.ts";
import { diffConfigs } from "../src/routes/index.ts";
import { makeWireConfig } from "./support/fleet.ts";
import { startOneGateway } from "./support/start_one_gateway.ts";
import { startSessionServer, WELCOME } from "./support/start_session_server.ts";

function makeDocument(version: number): string {
  return JSON.stringify(makeWireConfig(version));
}

/** Starts a leader that answers each hello with the messages of `answer`. */
function startLeader(answer: () => readonly LeaderMessage[]) {
  return startSessionServer((message, send) => {
    if (message.type !== "hello") return;
    [WELCOME, ...answer()].forEach(send);
  });
}

function makeFullConfig(version: number): LeaderMessage {
  return {
    type: "config",
    version,
    packed: packDocument(makeDocument(version)),
  };
}

/** Makes the change that leads from a document to a version. */
function makeChange(fromDocument: string, version: number): LeaderMessage {
  const document = makeDocument(version);
  return {
    type: "configChange",
    version,
    digest: getConfigDigest(packDocument(document)),
    fromDigest: getConfigDigest(packDocument(fromDocument)),
    change: diffConfigs(decodeConfig(fromDocument), decodeConfig(document)),
  };
}

const CHANGES: Readonly<Record<string, LeaderMessage>> = {
  "from another version": makeChange(makeDocument(5), 7),
  "from another document of the same version": makeChange(
    JSON.stringify(makeWireConfig(3, { timeoutMs: 4_000 })),
    7,
  ),
};

for (const [name, change] of Object.entries(CHANGES)) {
  test(`a gateway that receives a change ${name} requests the full configuration`, async () => {
    let answers = 0;
    await using leader = await startLeader(() => {
      answers += 1;
      return answers === 1 ? [makeFullConfig(3), change] : [makeFullConfig(7)];
    });
    await using started = await startOneGateway([leader.address]);
    await until(
      "the gateway has version 7",
      () => started.gateway.getVersion() === 7,
    );
    assert.equal(leader.hellos, [-1, -1]);
  });
}

test("a gateway applies a change to the configuration that it has", async () => {
  const change = makeChange(makeDocument(3), 5);
  await using leader = await startLeader(() => [makeFullConfig(3), change]);
  await using started = await startOneGateway([leader.address]);
  await until(
    "the gateway has version 5",
    () => started.gateway.getVersion() === 5,
  );
  assert.equal(leader.hellos, [-1]);
});

test.run();
