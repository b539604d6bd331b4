import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeHeartbeat } from "../../test/support/make_beat.ts";
import { createEngineRegistry } from "./create_engine_registry.ts";
import {
  createFleetStateMachine,
  type FleetCommand,
} from "./create_fleet_state_machine.ts";
import { createLeaderCallHandler } from "./create_leader_call_handler.ts";
import type { FleetCall } from "./messages.ts";

function makeHandler(hasLease: () => boolean) {
  const machine = createFleetStateMachine();
  const proposed: FleetCommand[] = [];
  const registry = createEngineRegistry({
    silenceMs: 1_000,
    now: () => 0,
    getLeave: machine.getLeave,
    publish: () => {},
    log: () => {},
  });
  const handler = createLeaderCallHandler({
    machine,
    registry,
    members: { replace: () => Promise.resolve(false) },
    quarantine: { list: () => [], lift: () => Promise.resolve() },
    async propose(command) {
      await Promise.resolve();
      proposed.push(command);
      machine.apply(JSON.stringify(command));
    },
    confirmRead: () => Promise.resolve(),
    hasLease,
    hasEnoughVoters: () => true,
    history: {
      read: () => {
        throw new Error("No configuration is sent here");
      },
    },
    log: () => {},
  });
  return { handler, registry, machine, proposed };
}

test("a leader without a lease rejects heartbeats", async () => {
  let hasLease = false;
  const { handler, registry } = makeHandler(() => hasLease);
  const call = { type: "beat", beat: makeHeartbeat() } as const;
  assert.is((await handler.handle(call)).type, "unavailable");
  assert.equal(registry.getRecords(), []);
  hasLease = true;
  assert.is((await handler.handle(call)).type, "done");
  assert.is(registry.getRecords().length, 1);
});

test("a call of a type that is unknown to this build is answered", async () => {
  const { handler } = makeHandler(() => true);
  const call = { type: "later" } as unknown as FleetCall;
  assert.is((await handler.handle(call)).type, "unavailable");
});

test("a leave reported by gateways is recorded once, for registered upstreams only", async () => {
  const { handler, registry, machine, proposed } = makeHandler(() => true);
  const heartbeat = makeHeartbeat();
  const { engineId } = heartbeat;
  await handler.recordLeaves([engineId]);
  assert.equal(proposed, []);
  await handler.handle({ type: "beat", beat: heartbeat });
  await Promise.all([
    handler.recordLeaves([engineId]),
    handler.recordLeaves([engineId]),
  ]);
  await handler.recordLeaves([engineId, "unknown"]);
  assert.equal(proposed, [{ type: "leave", engineId, kind: "draining" }]);
  assert.is(machine.getLeave(engineId), "draining");
  // A later heartbeat without the leaving flag does not undo the leave.
  await handler.handle({
    type: "beat",
    beat: { ...heartbeat, sequence: heartbeat.sequence + 1, isLeaving: false },
  });
  assert.ok(registry.getRecords()[0].isLeaving);
});

test.run();
