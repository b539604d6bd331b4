import { test } from "uvu";
import * as assert from "uvu/assert";
import { createLostEngineReports } from "./create_lost_engine_reports.ts";

const GATEWAYS = Array.from({ length: 40 }, (_, at) => ({
  vm: `g${at}`,
  place: at < 20 ? "a" : "b",
  address: `g${at}:1`,
  isReady: true,
}));

function startReports(vm: string, place: string) {
  return createLostEngineReports({ vm, place, listReady: () => GATEWAYS });
}

test("the order in which the gateways of a data centre probe differs between engines", () => {
  const reports = GATEWAYS.slice(0, 20).map(({ vm }) => startReports(vm, "a"));
  const engineIds = Array.from({ length: 200 }, (_, at) => `e${at}`);
  for (const engineId of engineIds) {
    const ranks = reports.map((one) => one.getProbeRank(engineId));
    assert.equal(ranks.sort((a, b) => a - b), [...ranks.keys()]);
  }
  const firsts = reports.map((one) =>
    engineIds.filter((engineId) => one.getProbeRank(engineId) === 0).length
  );
  assert.ok(Math.max(...firsts) < 25, `${firsts}`);
});

test("a lost engine is reported once", () => {
  const reports = startReports("g0", "a");
  reports.add("e1");
  reports.add("e1");
  assert.equal(reports.take(), ["e1"]);
  assert.equal(reports.take(), []);
});

test("a gateway that isn't registered yet probes with the first", () => {
  assert.is(startReports("new", "a").getProbeRank("e1"), 0);
});

test.run();
