/**
 * An entry that looks for the leader among control processes that redirect it.
 */

import { Server } from "@grpc/grpc-js";
import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../demo/find_free_ports.ts";
import { createAgent } from "../src/entry/create_agent.ts";
import { createConfigReplica } from "../src/entry/create_config_replica.ts";
import { createMetrics } from "../src/metrics/index.ts";
import type { EntrySettings } from "../src/settings/index.ts";
import { bindGrpc, wire } from "../src/wire/index.ts";

/** Time for which the entry is redirected. */
const REDIRECT_MS = 3_000;

/** Longest back-off of an entry between two attempts. */
const MAX_BACK_OFF_MS = 400;

/** Number of attempts before the back-off reaches its maximum. */
const SHORTER_BACK_OFFS = 3;

/** Number of redirects that are followed without a back-off. */
const IMMEDIATE_REDIRECTS = 3;

async function startControl(getLeaderAddress: (own: string) => string) {
  const [port] = await findFreePorts(1);
  const address = `127.0.0.1:${port}`;
  let hellos = 0;
  const server = new Server();
  server.addService(
    wire.AgentService,
    {
      session(stream) {
        stream.on("error", () => {});
        stream.on("end", () => stream.end());
        stream.on("data", () => {
          hellos += 1;
          const leaderAddress = getLeaderAddress(address);
          const value = { leaderAddress, reason: "not the leader" };
          stream.write({ body: { $case: "redirect", value } });
        });
      },
    } satisfies wire.AgentServer,
  );
  await bindGrpc(server, { address });
  return {
    address,
    countHellos: () => hellos,
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      server.forceShutdown();
    },
  };
}

async function countHellos(
  getLeaderAddress: (own: string) => string,
): Promise<number> {
  await using control = await startControl(getLeaderAddress);
  const settings: Partial<EntrySettings> = {
    fleetId: "search",
    vm: "entry-1",
    place: "a",
    controlAddresses: [control.address],
    heartbeatIntervalMs: 500,
    controlSilenceMs: 2_000,
  };
  await using agent = createAgent({
    settings: settings as EntrySettings,
    incarnation: "first",
    config: createConfigReplica(),
    getReport: () => ({}) as never,
    isLeaving: () => false,
    log: () => {},
    metrics: createMetrics(),
    now: () => performance.now(),
    random: () => 1,
  });
  agent.start("127.0.0.1:1");
  await sleep(REDIRECT_MS);
  return control.countHellos();
}

const MAX_HELLOS = SHORTER_BACK_OFFS + REDIRECT_MS / MAX_BACK_OFF_MS;

// Guards against entries that retry every 100 ms for as long as there is no leader.
test("an entry that is redirected without an address backs off between attempts", async () => {
  const hellos = await countHellos(() => "");
  assert.ok(hellos > 1 && hellos <= MAX_HELLOS, `${hellos}`);
});

// Guards against redirects in a circle that are followed without a pause.
test("an entry backs off when redirects form a circle", async () => {
  const hellos = await countHellos((own) => own);
  assert.ok(
    hellos > 1 && hellos <= IMMEDIATE_REDIRECTS + MAX_HELLOS,
    `${hellos}`,
  );
});

test.run();
