/**
 * A gateway that sends what the leader can't handle loses its session, and no other
 * gateway does.
 */

import { Buffer } from "node:buffer";
import { once } from "node:events";
import { Server, type ServiceError, status } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { openLink } from "../../test/support/open_link.ts";
import { until } from "../../demo/until.ts";
import { decodeConfig } from "../../platform/decode_config.ts";
import { createMetrics } from "../metrics/index.ts";
import {
  bindGrpc,
  CHANNEL_OPTIONS,
  createClientCredentials,
  wire,
} from "../wire/index.ts";
import { createConfigHistory } from "./create_config_history.ts";
import { createGatewaySessions } from "./create_gateway_sessions.ts";
import { createRetryLender } from "./create_retry_lender.ts";

const HELLO = {
  type: "hello",
  gateway: { vm: "g1", place: "p", address: "g1:80", isReady: true },
  version: -1,
  sentMs: 0,
};

const EMPTY: wire.FleetMessage = {
  json: "",
  packed: Buffer.alloc(0),
  engineNumbers: [],
  loads: undefined,
};

const JOINED = "gatewayJoined";

const BEAT = { type: "beat", sentMs: 0, isReady: true, suspects: [] };

/** Messages that follow on a hello, by what is wrong with the last one. */
const MESSAGES: Readonly<Record<string, readonly string[]>> = {
  "is not JSON": ["{"],
  "is null": ["null"],
  "is a hello without a gateway": [
    JSON.stringify({ ...HELLO, gateway: undefined }),
  ],
  "is a heartbeat without suspects": [
    JSON.stringify(HELLO),
    JSON.stringify({ ...BEAT, suspects: undefined }),
  ],
  "is a hello with an address that is no text": [
    JSON.stringify({ ...HELLO, gateway: { ...HELLO.gateway, address: 7 } }),
  ],
  "names services that it can't reach in another form": [
    JSON.stringify(HELLO),
    JSON.stringify({ ...BEAT, cutOffServices: 7 }),
  ],
  "reports retries of another form": [
    JSON.stringify(HELLO),
    JSON.stringify({ ...BEAT, retries: { service: null } }),
  ],
  "reports leaving upstreams of another form": [
    JSON.stringify(HELLO),
    JSON.stringify({ ...BEAT, leaving: { engine: true } }),
  ],
};

async function startLeader() {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  const events: string[] = [];
  const log = (event: string) => void events.push(event);
  const now = () => performance.now();
  const retryLender = createRetryLender({
    ratio: 0.2,
    extra: 10,
    windowMs: 10_000,
    getCeilings: () => new Map(),
    propose: () => Promise.resolve(),
    hasLease: () => true,
    now,
    log,
  });
  retryLender.beginTerm();
  const sessions = createGatewaySessions({
    isLeader: () => true,
    hasLease: () => true,
    confirmRead: () => Promise.resolve(),
    getLeaderAddress: () => "",
    getControlAddresses: () => [],
    getAcceptedConfig: () => undefined,
    history: createConfigHistory({ decodeConfig }),
    getEngines: () => [],
    getDepartures: () => ({ gone: [] }),
    knowsAllEngines: () => true,
    knowsAllGateways: () => true,
    retryLender,
    quarantine: {
      take: () => {},
      grantTrial: () => undefined,
      list: () => [],
    },
    limits: { take: () => {}, grant: () => [], list: () => [] },
    onSuspectedEngines: () => {},
    onSlowEngines: () => {},
    onLeavingEngines: (engineIds) => void engineIds.filter(Boolean),
    now,
    log,
    metrics: createMetrics(),
  });
  const server = new Server(CHANNEL_OPTIONS);
  server.addService(wire.FleetService, {
    session: sessions.handleSession,
    call: () => {},
  });
  await bindGrpc(server, { address });
  return {
    address,
    events,
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      server.forceShutdown();
    },
  };
}

for (const [name, texts] of Object.entries(MESSAGES)) {
  test(`a gateway whose message ${name} loses its session only`, async () => {
    await using leader = await startLeader();
    const { address, events } = leader;
    await using _other = openLink({ getSeedAddresses: () => [address] });
    await until("the other gateway joins", () => events.includes(JOINED));
    const client = new wire.FleetClient(address, createClientCredentials());
    const stream = client.session();
    const failed = once(stream, "error") as Promise<[ServiceError]>;
    for (const json of texts) {
      stream.write({ ...EMPTY, json });
      if (json !== texts.at(-1)) await once(stream, "data");
    }
    stream.resume();
    const [error] = await failed;
    assert.is(error.code, status.INVALID_ARGUMENT);
    client.close();
    const count = (name: string) =>
      events.filter((event) => event === name).length;
    assert.is(count("messageFailed"), 1);
    assert.is(count("gatewayLost"), texts.length - 1);
  });
}

test.run();
