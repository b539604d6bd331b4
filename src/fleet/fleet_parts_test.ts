import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  createFleetStateMachine,
  type FleetCommand,
} from "./create_fleet_state_machine.ts";
import { subtractLoads, sumLoads } from "./sum_loads.ts";
import { packDocument, unpackDocument } from "./pack_document.ts";

function putConfig(version: number, packed: string): FleetCommand {
  return { type: "putConfig", version, packed };
}

function apply(
  machine: ReturnType<typeof createFleetStateMachine>,
  ...commands: readonly FleetCommand[]
): void {
  for (const command of commands) machine.apply(JSON.stringify(command));
}

test("packing and unpacking a document gives the same document", () => {
  const document = `{ "version": 7, "routes": [${"é,".repeat(500)}] }`;
  const packed = packDocument(document);
  assert.is(unpackDocument(packed), document);
  assert.ok(packed.length < document.length / 5);
});

test("the load of the other gateways is the sum without a gateway's own", () => {
  const one = { a: { tokens: 5, requests: 1 }, b: { tokens: 7, requests: 0 } };
  const two = { a: { tokens: 2, requests: 1 } };
  const sum = sumLoads([one, two]);
  assert.equal(sum, { ...one, a: { tokens: 7, requests: 2 } });
  assert.equal(subtractLoads(sum, one), two);
  assert.equal(subtractLoads(sum, two), one);
});

test("a lower or equal version that is applied later does not replace the highest", () => {
  const accepted: number[] = [];
  const machine = createFleetStateMachine({
    onChange: (command) => {
      if (command.type === "putConfig") accepted.push(command.version);
    },
  });
  apply(
    machine,
    putConfig(3, "three"),
    putConfig(7, "seven"),
    putConfig(5, "five"),
    putConfig(7, "other seven"),
  );
  assert.is(machine.getAcceptedConfig()?.packed, "seven");
  assert.equal(accepted, [3, 7]);
});

test("a leave is never undone, and gone is final", () => {
  const machine = createFleetStateMachine();
  apply(
    machine,
    { type: "leave", engineId: "e", kind: "gone" },
    { type: "leave", engineId: "e", kind: "draining" },
  );
  assert.is(machine.getLeave("e"), "gone");
});

test("recorded gateways survive a restart", () => {
  const [first, second] = ["g1", "g2"].map((vm) => ({
    vm,
    place: "a",
    address: `${vm}:80`,
    isReady: true,
  }));
  const machine = createFleetStateMachine();
  const changed = [first, second];
  apply(
    machine,
    { type: "gateways", changed, lost: [] },
    { type: "gateways", changed: [{ ...first, isReady: false }], lost: ["g2"] },
  );
  const restored = createFleetStateMachine();
  restored.restore(machine.save());
  assert.equal([...restored.getGateways().values()], [
    { ...first, isReady: false },
  ]);
});

test("applied commands survive a restart, and the number of leaves is bounded", () => {
  const machine = createFleetStateMachine({ maxLeaves: 2 });
  apply(
    machine,
    putConfig(3, "three"),
    { type: "leave", engineId: "a", kind: "gone" },
    { type: "leave", engineId: "b", kind: "gone" },
    { type: "leave", engineId: "c", kind: "draining" },
  );
  const restored = createFleetStateMachine();
  restored.restore(machine.save());
  assert.is(restored.getAcceptedConfig()?.packed, "three");
  assert.is(restored.getLeave("a"), undefined);
  assert.is(restored.getLeave("c"), "draining");
});

test.run();
