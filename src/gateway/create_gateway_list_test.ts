import { test } from "uvu";
import * as assert from "uvu/assert";
import { createGatewayList } from "./create_gateway_list.ts";

const makeGateway = (vm: string, isReady = true) => ({
  vm,
  place: "a",
  address: `${vm}:1`,
  isReady,
});

const CHANGE = { type: "gateways", isWhole: false, gone: [] } as const;

test("a change updates the known gateways, a whole list replaces them", () => {
  const list = createGatewayList();
  const listNames = () => list.list().map(({ vm }) => vm);
  list.update({ ...CHANGE, gateways: [makeGateway("g1"), makeGateway("g2")] });
  list.update({
    ...CHANGE,
    gone: ["g1"],
    gateways: [makeGateway("g3", false)],
  });
  assert.equal(listNames(), ["g2", "g3"]);
  assert.equal(list.listReady().map(({ vm }) => vm), ["g2"]);
  list.update({ ...CHANGE, isWhole: true, gateways: [makeGateway("g4")] });
  assert.equal(listNames(), ["g4"]);
});

test.run();
