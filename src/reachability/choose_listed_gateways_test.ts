import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseListedGateways } from "./choose_listed_gateways.ts";
import type { Peer } from "./choose_peer.ts";

function makeGateway(vm: string, isCutOff = false): Peer {
  const cutOffServices = isCutOff ? ["s"] : undefined;
  const place = vm[0];
  return { vm, place, address: vm, isReady: true, cutOffServices };
}

function list(gateways: readonly Peer[], place: string): string[] {
  return chooseListedGateways(gateways, place).map(({ vm }) => vm);
}

const FAR = ["b1", "b2", "b3", "b4"].map((vm) => makeGateway(vm));

test("callers get the gateways of their data centre, or all where there are none", () => {
  const gateways = [makeGateway("a1"), ...FAR];
  assert.equal(list(gateways, "a"), ["a1"]);
  assert.is(list(gateways, "c").length, 5);
});

test("a gateway that is cut off is left out while enough others are there", () => {
  const gateways = [makeGateway("a1"), makeGateway("a2", true), ...FAR];
  assert.equal(list(gateways, "a"), ["a1"]);
});

test("where most gateways of a data centre are cut off, callers get all that are whole", () => {
  const cut = ["a2", "a3"].map((vm) => makeGateway(vm, true));
  const gateways = [makeGateway("a1"), ...cut, ...FAR];
  assert.equal(list(gateways, "a"), ["a1", "b1", "b2", "b3", "b4"]);
});

test("where all gateways are cut off, the list stays as it is", () => {
  const gateways = ["a1", "a2", "b1"].map((vm) => makeGateway(vm, true));
  assert.equal(list(gateways, "a"), ["a1", "a2"]);
});

test.run();
