import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { chooseEngine } from "./choose_engine.ts";
import { createEngineTable } from "./create_engine_table.ts";

function makeTable(
  notices?: Parameters<typeof createEngineTable>[0]["notices"],
) {
  const clock = { nowMs: 0 };
  const gone: string[] = [];
  const table = createEngineTable({
    now: () => clock.nowMs,
    log: () => {},
    onRemoved: (engineId) => void gone.push(engineId),
    notices,
  });
  const engines = ["e1", "e2"].map((engineId) => makeEngineRecord(engineId));
  table.applyUpdate({ type: "engines", isWhole: true, engines, gone: [] });
  const choose = () =>
    chooseEngine(table.listUsable("s"), {
      place: "p",
      excluded: new Set(),
      nowMs: clock.nowMs,
      random: 0,
    })?.record.engineId;
  return { table, clock, gone, engines, choose };
}

test("an upstream that fails is avoided, and tried again after a while", () => {
  const { table, clock, choose } = makeTable();
  assert.is(choose(), "e1");
  for (let at = 0; at < 10; at++) table.noteAnswer("e1", { failed: true });
  assert.is(choose(), "e2");
  clock.nowMs = 30_000;
  assert.is(choose(), "e1");
});

test("counts the upstreams that are left out, of one service or of all", () => {
  const { table, clock } = makeTable();
  table.suspect("e1", "test");
  assert.equal(table.countLeftOut(), { registered: 2, leftOut: 1 });
  assert.equal(table.countLeftOut("other"), { registered: 0, leftOut: 0 });
  clock.nowMs = 1_600;
  assert.equal(table.countLeftOut("s"), { registered: 2, leftOut: 0 });
});

test("a suspected upstream is excluded, for longer each time in a row", () => {
  const { table, clock } = makeTable();
  table.suspect("e1", "test");
  assert.is(table.listUsable("s").length, 1);
  clock.nowMs = 1_600;
  assert.is(table.listUsable("s").length, 2);
  table.suspect("e1", "test");
  clock.nowMs = 3_300;
  assert.is(table.listUsable("s").length, 1);
  assert.equal(table.takeSuspects(), ["e1"]);
  assert.equal(table.takeSuspects(), []);
});

test("an update keeps the gateway's counts; a complete list removes other upstreams", () => {
  const { table, gone, engines } = makeTable();
  table.addWork([{ engineId: "e1", fromLayer: 0, toLayer: 0 }], { tokens: 9 });
  const [first] = engines;
  const moved = { ...first, isLeaving: true };
  table.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [moved],
    gone: [],
  });
  assert.equal(table.getLoads(), { e1: { tokens: 9, requests: 1 } });
  assert.is(table.listUsable("s").length, 1);
  table.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: [moved],
    gone: [],
  });
  assert.equal(gone, ["e2"]);
});

test("an upstream that left and still serves has not ended", () => {
  const { table } = makeTable();
  assert.not.ok(table.hasEnded("e1"));
  const gone = ["e1", "e2"];
  const serving = ["e2"];
  table.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [],
    gone,
    serving,
  });
  assert.ok(table.hasEnded("e1"));
  assert.not.ok(table.hasEnded("e2"));
  assert.equal(table.listUsable("s"), []);
});

// A refusal may come from a machine in between: an upstream whose heartbeats go on
// would otherwise never count against the attempts of a call again.
test("an upstream that refused connections doesn't count as ended while it stays registered", () => {
  const { table, clock } = makeTable();
  table.noteEnded("e1");
  table.noteEnded("e2");
  assert.ok(table.hasEnded("e1"));
  clock.nowMs = 4_900;
  assert.ok(table.hasEnded("e1"));
  const gone = ["e2"];
  table.applyUpdate({ type: "engines", isWhole: false, engines: [], gone });
  clock.nowMs = 5_000;
  assert.not.ok(table.hasEnded("e1"));
  assert.ok(table.hasEnded("e2"));
  table.noteEnded("e1");
  assert.ok(table.hasEnded("e1"));
});

test("a backed-off upstream is listed separately, whatever the leader reports", () => {
  const backedOff = new Set(["e1"]);
  const { table, engines } = makeTable({
    isBackedOff: (engineId) => backedOff.has(engineId),
    isLeaving: () => false,
    listLeaving: () => [],
  });
  const list = (views: readonly { record: { engineId: string } }[]) =>
    views.map(({ record }) => record.engineId).sort();
  table.applyUpdate({ type: "engines", isWhole: true, engines, gone: [] });
  assert.equal(list(table.listUsable("s")), ["e2"]);
  assert.equal(list(table.listBackedOff("s")), ["e1"]);
  // A back-off is no failure, so it isn't reported.
  assert.equal(table.takeSuspects(), []);
  table.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [],
    gone: ["e1"],
  });
  table.applyUpdate({ type: "engines", isWhole: false, engines, gone: [] });
  assert.equal(list(table.listUsable("s")), ["e2"]);
  backedOff.clear();
  assert.equal(list(table.listUsable("s")), ["e1", "e2"]);
});

test("an upstream's own leaving notice outlasts updates, and is reported until it is known", () => {
  const { table, engines } = makeTable({
    isBackedOff: () => false,
    isLeaving: (engineId) => engineId === "e1",
    listLeaving: () => ["e1", "e9"],
  });
  const [first, second] = engines;
  table.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [first],
    gone: [],
  });
  assert.equal(table.listUsable("s").map(({ record }) => record), [second]);
  assert.ok(table.isLeaving("e1"));
  assert.equal(table.listUnreportedLeaving(), ["e1"]);
  const leavingRecord = { ...first, isLeaving: true };
  table.applyUpdate({
    type: "engines",
    isWhole: false,
    engines: [leavingRecord],
    gone: [],
  });
  assert.equal(table.listUnreportedLeaving(), []);
  // Removed and listed again: a new leader that doesn't know of the notice yet.
  table.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: [second],
    gone: [],
  });
  table.applyUpdate({ type: "engines", isWhole: true, engines, gone: [] });
  assert.equal(table.listUnreportedLeaving(), ["e1"]);
});

test.run();
