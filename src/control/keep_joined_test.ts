import { setTimeout as sleep } from "node:timers/promises";
import { Server } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { createMemoryStorage, type QuorumStorage } from "../storage/index.ts";
import { bindGrpc, wire } from "../wire/index.ts";
import { joinCluster } from "./join_cluster.ts";
import { keepJoined } from "./keep_joined.ts";

/** Starts a peer that accepts all replicas, or never responds, and records requests. */
async function startPeer({ isSilent = false } = {}) {
  const requests: wire.JoinRequest[] = [];
  const server = new Server();
  server.addService(
    wire.PeerService,
    {
      deliver: (_call, done) => done(null, {}),
      join: (call, done) => {
        requests.push(call.request);
        if (isSilent) return;
        done(null, {
          clusterId: "cluster",
          accepted: true,
          leaderAddress: "",
          reason: "",
          formableClusterId: "",
          startedEmpty: false,
        });
      },
    } satisfies wire.PeerServer,
  );
  const port = await bindGrpc(server, { address: "127.0.0.1:0" });
  return {
    requests,
    address: `127.0.0.1:${port}`,
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      server.forceShutdown();
    },
  };
}

test("a replica requests to join again once its leader is silent, under its old id", async () => {
  await using leader = await startPeer();
  const storage = createMemoryStorage({ fleetId: "fleet", vm: "a" });
  const abort = new AbortController();
  let silenceMs = 0;
  let outsideCount = 0;
  let joinedCount = 0;
  const ended = keepJoined({
    fleetId: "fleet",
    vm: "a",
    address: "127.0.0.1:1",
    storage,
    signal: abort.signal,
    getPeerAddresses: () => [leader.address],
    getSilenceMs: () => silenceMs,
    onOutside: () => void (outsideCount += 1),
    onJoined: () => void (joinedCount += 1),
  });
  await until("it has joined", () => joinedCount === 1);
  assert.is(outsideCount, 0);
  assert.is(leader.requests.length, 1);
  silenceMs = 10_000;
  await until("it requests again", () => leader.requests.length > 1);
  abort.abort();
  await ended;
  assert.ok(outsideCount > 0);
  assert.is(joinedCount, 1);
  const [first, second] = leader.requests;
  assert.is(second.replicaId, first.replicaId);
  assert.is(second.clusterId, "cluster");
});

// Guards against a process that ends because its disk is full while it joins.
test("a replica that can't store its cluster joins once it can", async () => {
  await using leader = await startPeer();
  const memory = createMemoryStorage({ fleetId: "fleet", vm: "a" });
  const failures = ["ENOSPC", "EMFILE"];
  const storage = Object.create(memory, {
    setClusterId: {
      value(clusterId: string) {
        const code = failures.shift();
        if (code === undefined) return memory.setClusterId(clusterId);
        return Promise.reject(Object.assign(new Error(code), { code }));
      },
    },
  }) as QuorumStorage;
  const errors: string[] = [];
  const hasJoined = await joinCluster({
    fleetId: "fleet",
    vm: "a",
    address: "127.0.0.1:1",
    storage,
    signal: AbortSignal.timeout(10_000),
    getPeerAddresses: () => [leader.address],
    onWriteError: (error) => void errors.push((error as Error).message),
  });
  assert.ok(hasJoined);
  assert.equal(errors, ["ENOSPC", "EMFILE"]);
  assert.is(storage.identity.clusterId, "cluster");
});

test("a replica in contact with its leader requests nothing", async () => {
  await using leader = await startPeer();
  const storage = createMemoryStorage({ fleetId: "fleet", vm: "a" });
  await storage.setClusterId("cluster");
  const abort = new AbortController();
  const ended = keepJoined({
    fleetId: "fleet",
    vm: "a",
    address: "127.0.0.1:1",
    storage,
    signal: abort.signal,
    getPeerAddresses: () => [leader.address],
    getSilenceMs: () => 500,
  });
  await sleep(600);
  abort.abort();
  await ended;
  assert.equal(leader.requests, []);
});

// Guards against a machine that joined only after seconds: a seed that was gone held up
// the acceptance by the leader.
test("a peer that never responds doesn't hold up the leader's acceptance", async () => {
  await using silent = await startPeer({ isSilent: true });
  await using leader = await startPeer();
  const storage = createMemoryStorage({ fleetId: "fleet", vm: "a" });
  const abort = new AbortController();
  let hasJoined = false;
  const ended = joinCluster({
    fleetId: "fleet",
    vm: "a",
    address: "127.0.0.1:1",
    storage,
    signal: abort.signal,
    getPeerAddresses: () => [silent.address, leader.address],
    responseTimeoutMs: 3_600_000,
  }).then((joined) => hasJoined = joined);
  await until("it has joined", () => hasJoined);
  assert.is(silent.requests.length, 1);
  assert.is(storage.identity.clusterId, "cluster");
  await ended;
});

test("a replica that a peer sends to an address that is none asks on", async () => {
  let answers = 0;
  const server = new Server();
  server.addService(
    wire.PeerService,
    {
      deliver: (_call, done) => done(null, {}),
      join: (_call, done) => {
        answers += 1;
        done(null, {
          clusterId: "cluster",
          accepted: answers > 2,
          leaderAddress: "\n",
          reason: "not_leader",
          formableClusterId: "",
          startedEmpty: false,
        });
      },
    } satisfies wire.PeerServer,
  );
  const port = await bindGrpc(server, { address: "127.0.0.1:0" });
  const hasJoined = await joinCluster({
    fleetId: "fleet",
    vm: "a",
    address: "127.0.0.1:1",
    storage: createMemoryStorage({ fleetId: "fleet", vm: "a" }),
    signal: new AbortController().signal,
    getPeerAddresses: () => [`127.0.0.1:${port}`],
  });
  assert.ok(hasJoined);
  assert.is(answers, 3);
  server.forceShutdown();
});

test.run();
