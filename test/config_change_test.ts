/**
 * A gateway that is told a change of a configuration which it doesn't have.
 */

import { Server, type ServerDuplexStream } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../demo/find_free_ports.ts";
import { until } from "../demo/until.ts";
import { callerCodec } from "../platform/codec.ts";
import { decodeConfig } from "../platform/decode_config.ts";
import { engineControl } from "../platform/engine_calls.ts";
import {
  createEngineNumbers,
  formatLeaderMessage,
  getConfigDigest,
  type LeaderMessage,
  packDocument,
  parseGatewayMessage,
} from "../src/fleet/index.ts";
import { startGateway } from "../src/gateway/index.ts";
import { createMetrics } from "../src/metrics/index.ts";
import { diffConfigs } from "../src/routes/index.ts";
import { bindGrpc, wire } from "../src/wire/index.ts";
import { makeWireConfig } from "./support/fleet.ts";

type SessionStream = ServerDuplexStream<wire.FleetMessage, wire.FleetMessage>;

function makeDocument(version: number): string {
  return JSON.stringify(makeWireConfig(version));
}

/** A leader that answers each hello as the test says. */
async function startLeader(
  answer: (helloVersion: number) => readonly LeaderMessage[],
) {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const numbers = createEngineNumbers();
  const hellos: number[] = [];
  const server = new Server();
  server.addService(wire.FleetService, {
    session(stream: SessionStream) {
      const tell = (message: LeaderMessage) =>
        stream.write(formatLeaderMessage(message, numbers));
      stream.on("data", (received: wire.FleetMessage) => {
        const message = parseGatewayMessage(received, numbers);
        if (message.type !== "hello") return;
        hellos.push(message.version);
        tell({
          type: "welcome",
          controlAddresses: [address],
          cases: [],
          limits: [],
        });
        answer(message.version).forEach(tell);
      });
      stream.on("error", () => {});
      stream.on("end", () => stream.end());
    },
    call: () => {},
  });
  await bindGrpc(server, { address });
  return {
    address,
    hellos,
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      server.forceShutdown();
    },
  };
}

async function startOneGateway(leaderAddress: string) {
  const [port] = await findFreePorts(1);
  const gateway = await startGateway({
    vm: "g1",
    place: "p1",
    listen: { host: "127.0.0.1", port },
    revokeMs: 5_000,
    repeats: { ratio: 0.2, extra: 100, windowMs: 10_000 },
    graceMs: 300,
  }, {
    codec: callerCodec,
    engineControl,
    decodeConfig,
    getSeedAddresses: () => [leaderAddress],
    log: () => {},
    metrics: createMetrics(),
  });
  return {
    gateway,
    [Symbol.asyncDispose]: () => gateway.stop(),
  };
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
    await using started = await startOneGateway(leader.address);
    await until("it has it", () => started.gateway.getVersion() === 7);
    assert.equal(leader.hellos, [-1, -1]);
  });
}

test("who is told a change of what it has takes it", async () => {
  const change = makeChange(makeDocument(3), 5);
  await using leader = await startLeader(() => [makeWhole(3), change]);
  await using started = await startOneGateway(leader.address);
  await until("it has it", () => started.gateway.getVersion() === 5);
  assert.equal(leader.hellos, [-1]);
});

test.run();
