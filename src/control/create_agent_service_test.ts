import { EventEmitter } from "node:events";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../../demo/until.ts";
import { createMetrics } from "../metrics/index.ts";
import {
  createResourceState,
  getResourceKey,
  type ResourceState,
} from "../resources/index.ts";
import type { wire } from "../wire/index.ts";
import { computeEntryGrants } from "./compute_entry_grants.ts";
import { createAgentService } from "./create_agent_service.ts";
import { createFleetView } from "./create_fleet_view.ts";

type SessionStream = Parameters<
  ReturnType<typeof createAgentService>["handleSession"]
>[0];

const HELLO: wire.AgentHello = {
  fleetId: "fleet",
  clusterId: "",
  vm: "entry-1",
  place: "a",
  incarnation: "first",
  callerAddress: "http://127.0.0.1:1",
  revision: 0,
};

const REPORT = { inFlight: 1, demandPerS: {}, poolDemandPerS: {} };

function makeResources(): ResourceState {
  const state = createResourceState();
  const pool = {
    kind: "pool",
    name: "p",
    revision: 1,
    spec: { upstreams: [] },
  };
  return {
    ...state,
    resources: new Map([[getResourceKey("pool", "p"), pool as never]]),
  };
}

/** An entry's end of a session. */
class FakeStream extends EventEmitter {
  readonly writableLength = 0;
  readonly sent: wire.ControlMessage[] = [];
  hasEnded = false;

  write(message: wire.ControlMessage): void {
    this.sent.push(message);
  }

  end(): void {
    this.hasEnded = true;
    this.emit("close");
  }

  send(body: wire.AgentMessage["body"]): void {
    this.emit("data", { body });
  }
}

const REPORTS: Readonly<Record<string, string>> = {
  "is not JSON": "{",
  "is null": "null",
  "has no demand": "{}",
  "has a demand that is no number": JSON.stringify({
    ...REPORT,
    poolDemandPerS: { p: { a: 1 } },
  }),
};

for (const [name, report] of Object.entries(REPORTS)) {
  test(`an entry whose report ${name} loses its session, and the leader's timers go on`, async () => {
    const resources = makeResources();
    const events: string[] = [];
    const log = (event: string) => void events.push(event);
    const view = createFleetView({
      leaseMs: 1_000,
      now: () => 0,
      log,
      onChange: () => {},
    });
    const agents = createAgentService({
      fleetId: HELLO.fleetId,
      getClusterId: () => "c",
      getLeaderAddress: () => "",
      isLeader: () => true,
      getTerm: () => 1,
      confirmRead: () => Promise.resolve(),
      hasLease: () => true,
      peekClaim: () => ({ verdict: "granted" }),
      propose: () => Promise.resolve(),
      getResources: () => resources,
      getLedgerNowMs: () => 0,
      view,
      log,
      metrics: createMetrics(),
    });
    const stream = new FakeStream();
    agents.handleSession(stream as unknown as SessionStream);
    stream.send({ $case: "hello", value: HELLO });
    await until("the entry is welcomed", () => stream.sent.length > 0);
    const heartbeat = { revision: 0, sentMs: 0, leaving: false };
    stream.send({
      $case: "heartbeat",
      value: { ...heartbeat, report: JSON.stringify(REPORT) },
    });
    view.handleEvent({ type: "tick" });
    assert.not.ok(stream.hasEnded);
    stream.send({ $case: "heartbeat", value: { ...heartbeat, report } });
    // As the timers of the leader's tasks do.
    await Promise.resolve();
    view.handleEvent({ type: "tick" });
    const grants = computeEntryGrants(resources, view.getState());
    assert.equal(grants["entry-1"].intervals, { p: { middle: 0.5, part: 1 } });
    await until("its session ends", () => stream.hasEnded);
    assert.is(events.filter((event) => event === "messageFailed").length, 1);
  });
}

test.run();
