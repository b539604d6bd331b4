import { createServer } from "node:net";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { probeAddress } from "../http/index.ts";
import { createLivenessCheck } from "./create_liveness_check.ts";

test("an address that accepts connections is alive, one that refuses them has exited", async () => {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  assert.is(await probeAddress(address, { timeoutMs: 2_000 }), "ended");
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  assert.is(await probeAddress(address, { timeoutMs: 2_000 }), "listening");
  await new Promise((resolve) => server.close(resolve));
});

test("a probe's answer counts that came while this process was stalled", async () => {
  const [port] = await findFreePorts(1);
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(port, "127.0.0.1", resolve)
  );
  const answer = probeAddress(`127.0.0.1:${port}`, { timeoutMs: 50 });
  const stallEndMs = performance.now() + 150;
  while (performance.now() < stallEndMs);
  assert.is(await answer, "listening");
  await new Promise((resolve) => server.close(resolve));
});

test("streams that break together share one probe", async () => {
  let nowMs = 0;
  const probed: string[] = [];
  const checks = createLivenessCheck({
    now: () => nowMs,
    probe: (address) => {
      probed.push(address);
      return Promise.resolve("ended" as const);
    },
  });
  const engine = { engineId: "e1", address: "10.0.0.1:80" };
  const results = await Promise.all(
    Array.from({ length: 9 }, () => checks.check(engine)),
  );
  assert.equal(new Set(results), new Set(["ended"]));
  assert.is(probed.length, 1);
  nowMs = 1_000;
  await checks.check(engine);
  assert.is(probed.length, 2);
});

test("an upstream that was found listening is probed again when it crashes soon after", async () => {
  const results = ["listening", "ended"] as const;
  let probes = 0;
  const checks = createLivenessCheck({
    now: () => 0,
    probe: () => Promise.resolve(results[probes++]),
  });
  const upstream = { engineId: "e1", address: "h:1" };
  const first = await Promise.all([1, 2].map(() => checks.check(upstream)));
  assert.equal(first, ["listening", "listening"]);
  assert.is(await checks.check(upstream), "ended");
});

test("a refusal proves nothing where other upstreams can't be reached either", async () => {
  const createCheck = (reaches: boolean) =>
    createLivenessCheck({
      now: () => 0,
      probe: () => Promise.resolve("ended"),
      reachesOthers: () => Promise.resolve(reaches),
    });
  const upstream = { engineId: "e1", address: "h:1" };
  assert.is(await createCheck(false).check(upstream), "unknown");
  assert.is(await createCheck(true).check(upstream), "ended");
});

test("a refusal is known as one even where it proves nothing", async () => {
  let probes = 0;
  const checks = createLivenessCheck({
    now: () => 0,
    probe: () => {
      probes += 1;
      return Promise.resolve("ended");
    },
    reachesOthers: () => Promise.resolve(false),
  });
  const upstream = { engineId: "e1", address: "h:1" };
  assert.ok(await checks.refusesConnections(upstream));
  assert.is(await checks.check(upstream), "unknown");
  assert.is(probes, 1);
});

// Guards against a listener that is open for a moment after the connections are closed.
test("a refusal shortly after a connection was accepted is one", async () => {
  const results = ["listening", "ended", "listening", "listening"] as const;
  let probes = 0;
  const checks = createLivenessCheck({
    now: () => 0,
    probe: () => Promise.resolve(results[probes++]),
  });
  const upstream = { engineId: "e1", address: "h:1" };
  assert.ok(await checks.refusesConnections(upstream));
  assert.not(await checks.refusesConnections(upstream));
});

test.run();
