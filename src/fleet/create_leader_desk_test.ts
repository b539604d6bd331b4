import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeBeat } from "../../test/support/make_beat.ts";
import { createEngineRegistry } from "./create_engine_registry.ts";
import {
  createFleetMachine,
  type FleetCommand,
} from "./create_fleet_machine.ts";
import { createLeaderDesk } from "./create_leader_desk.ts";

function makeDesk(hasLease: () => boolean) {
  const machine = createFleetMachine();
  const proposed: FleetCommand[] = [];
  const registry = createEngineRegistry({
    silenceMs: 1_000,
    now: () => 0,
    getLeave: machine.getLeave,
    publish: () => {},
    log: () => {},
  });
  const desk = createLeaderDesk({
    machine,
    registry,
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
  return { desk, registry, machine, proposed };
}

test("a leader without a lease rejects heartbeats", async () => {
  let hasLease = false;
  const { desk, registry } = makeDesk(() => hasLease);
  const call = { type: "beat", beat: makeBeat() } as const;
  assert.is((await desk.take(call)).type, "unavailable");
  assert.equal(registry.getRecords(), []);
  hasLease = true;
  assert.is((await desk.take(call)).type, "done");
  assert.is(registry.getRecords().length, 1);
});

test("a leave reported by gateways is recorded once, for a registered incarnation only", async () => {
  const { desk, registry, machine, proposed } = makeDesk(() => true);
  const beat = makeBeat();
  const { engineId } = beat;
  await desk.noteLeaves([engineId]);
  assert.equal(proposed, []);
  await desk.take({ type: "beat", beat });
  await Promise.all([desk.noteLeaves([engineId]), desk.noteLeaves([engineId])]);
  await desk.noteLeaves([engineId, "unknown"]);
  assert.equal(proposed, [{ type: "leave", engineId, kind: "draining" }]);
  assert.is(machine.getLeave(engineId), "draining");
  // A later heartbeat without the leaving flag does not undo the leave.
  await desk.take({
    type: "beat",
    beat: { ...beat, sequence: beat.sequence + 1, isLeaving: false },
  });
  assert.ok(registry.getRecords()[0].isLeaving);
});

test.run();
