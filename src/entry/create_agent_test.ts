import { Server } from "@grpc/grpc-js";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { findFreePorts } from "../../demo/find_free_ports.ts";
import { until } from "../../demo/until.ts";
import { createMetrics } from "../metrics/index.ts";
import type { EntrySettings } from "../settings/index.ts";
import { bindGrpc, wire } from "../wire/index.ts";
import { createAgent } from "./create_agent.ts";
import { createConfigReplica } from "./create_config_replica.ts";

const WELCOME: wire.ControlMessage = {
  body: { $case: "welcome", value: { clusterId: "c", term: 1 } },
};

/** Messages after the welcome, by what is wrong with them. */
const MESSAGES: Readonly<Record<string, wire.ControlMessage["body"]>> = {
  "grants shares that are not JSON": { $case: "grant", value: { grant: "{" } },
  "grants nothing": { $case: "grant", value: { grant: "null" } },
  "grants other fields": { $case: "grant", value: { grant: "{}" } },
  "has a live state that is null": {
    $case: "live",
    value: { term: 1, version: 1, live: "null" },
  },
  "has a configuration that is not JSON": {
    $case: "config",
    value: { revision: 1, full: true, resources: "[" },
  },
};

for (const [name, body] of Object.entries(MESSAGES)) {
  test(`an entry whose control process ${name} opens another session`, async () => {
    const [port] = await findFreePorts(1);
    const address = `127.0.0.1:${port}`;
    const server = new Server();
    let sessions = 0;
    server.addService(
      wire.AgentService,
      {
        session(stream) {
          sessions += 1;
          const isFirst = sessions === 1;
          stream.on("error", () => {});
          stream.on("end", () => stream.end());
          stream.once("data", () => {
            stream.write(WELCOME);
            if (isFirst) stream.write({ body });
          });
          stream.resume();
        },
      } satisfies wire.AgentServer,
    );
    await bindGrpc(server, { address });
    const settings: Partial<EntrySettings> = {
      fleetId: "f",
      vm: "entry-1",
      place: "a",
      controlAddresses: [address],
      heartbeatIntervalMs: 500,
      controlSilenceMs: 2_000,
    };
    const events: string[] = [];
    const count = (wanted: string) =>
      events.filter((event) => event === wanted).length;
    {
      await using agent = createAgent({
        settings: settings as EntrySettings,
        incarnation: "first",
        config: createConfigReplica(),
        getReport: () => ({}) as never,
        isLeaving: () => false,
        log: (event) => void events.push(event),
        metrics: createMetrics(),
        now: () => performance.now(),
        random: () => 1,
      });
      agent.start("127.0.0.1:1");
      await until(
        "it is welcomed again",
        () => count("controlConnected") === 2,
      );
      // Read by a timer of the entry.
      assert.equal(agent.getGrant(), { accounts: {}, intervals: {} });
    }
    assert.is(count("messageFailed"), 1);
    server.forceShutdown();
  });
}

test.run();
