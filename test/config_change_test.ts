/**
 * A gateway that is told a change of a configuration which it doesn't have.
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

/** A leader that answers each hello as the test says. */
function startLeader(answer: () => readonly LeaderMessage[]) {
  return startSessionServer((message, tell) => {
    if (message.type !== "hello") return;
    [WELCOME, ...answer()].forEach(tell);
  });
}

function makeWhole(version: number): LeaderMessage {
  return {
    type: "config",
    version,
    packed: packDocument(makeDocument(version)),
  };
}

/** The change to a version, told to who has this document. */
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
  "of another version": makeChange(makeDocument(5), 7),
  "of another document under its version": makeChange(
    JSON.stringify(makeWireConfig(3, { timeoutMs: 4_000 })),
    7,
  ),
};

for (const [what, change] of Object.entries(CHANGES)) {
  test(`who is told a change ${what} asks for the whole`, async () => {
    let answers = 0;
    await using leader = await startLeader(() => {
      answers += 1;
      return answers === 1 ? [makeWhole(3), change] : [makeWhole(7)];
    });
    await using started = await startOneGateway([leader.address]);
    await until("it has it", () => started.gateway.getVersion() === 7);
    assert.equal(leader.hellos, [-1, -1]);
  });
}

test("who is told a change of what it has takes it", async () => {
  const change = makeChange(makeDocument(3), 5);
  await using leader = await startLeader(() => [makeWhole(3), change]);
  await using started = await startOneGateway([leader.address]);
  await until("it has it", () => started.gateway.getVersion() === 5);
  assert.equal(leader.hellos, [-1]);
});

test.run();
