/**
 * An entry that looks for the leader among control processes that send it away.
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

/** Ms for which the entry is sent away again and again. */
const SENT_AWAY_MS = 3_000;

/** Longest wait, in ms, before an entry asks again. */
const MAX_RETRY_MS = 400;

/** Tries until the wait is the longest one. */
const SHORTER_WAITS = 3;

/** Redirects that are followed without a wait. */
const QUICK_REDIRECTS = 3;

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
  await sleep(SENT_AWAY_MS);
  return control.countHellos();
}

const MAX_HELLOS = SHORTER_WAITS + SENT_AWAY_MS / MAX_RETRY_MS;

// Entries without a leader asked each 100 ms for as long as there was none.
test("an entry that is sent away asks less and less often", async () => {
  const hellos = await countHellos(() => "");
  assert.ok(hellos > 1 && hellos <= MAX_HELLOS, `${hellos}`);
});

// Control processes that named each other were asked without a pause.
test("an entry doesn't follow redirects without end", async () => {
  const hellos = await countHellos((own) => own);
  assert.ok(
    hellos > 1 && hellos <= QUICK_REDIRECTS + MAX_HELLOS,
    `${hellos}`,
  );
});

test.run();
