import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeBeat } from "../../test/support/make_beat.ts";
import { createEngineRegistry } from "./create_engine_registry.ts";
import { createFleetMachine } from "./create_fleet_machine.ts";
import { createLeaderDesk } from "./create_leader_desk.ts";

function makeDesk(hasLease: () => boolean) {
  const machine = createFleetMachine();
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
    propose: () => Promise.resolve(),
    confirmRead: () => Promise.resolve(),
    hasLease,
    hasEnoughVoters: () => true,
    decodeConfig: () => {
      throw new Error("No configuration is sent here");
    },
    log: () => {},
  });
  return { desk, registry };
}

test("a leader that can't be sure to lead takes no beats", async () => {
  let hasLease = false;
  const { desk, registry } = makeDesk(() => hasLease);
  const call = { type: "beat", beat: makeBeat() } as const;
  assert.is((await desk.take(call)).type, "unavailable");
  assert.equal(registry.getRecords(), []);
  hasLease = true;
  assert.is((await desk.take(call)).type, "done");
  assert.is(registry.getRecords().length, 1);
});

test.run();
