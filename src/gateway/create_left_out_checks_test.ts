import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeEngineRecord } from "../../test/support/make_engine_record.ts";
import { createEngineTable } from "./create_engine_table.ts";
import { createLeftOutChecks } from "./create_left_out_checks.ts";

function makeChecks() {
  const clock = { ms: 0 };
  const now = () => clock.ms;
  const engines = createEngineTable({
    now,
    log: () => {},
    onRemoved: () => {},
  });
  engines.applyUpdate({
    type: "engines",
    isWhole: true,
    engines: ["a", "b", "c", "d", "e", "f"].map((id) => makeEngineRecord(id)),
    gone: [],
  });
  const asked: string[] = [];
  const answering = new Set<string>();
  const checks = createLeftOutChecks({
    engines,
    checkAnswer({ record: { engineId } }) {
      asked.push(engineId);
      return Promise.resolve(answering.has(engineId));
    },
    now,
  });
  const doubt = (engineId: string) =>
    engines.suspect(engineId, "does not answer", { isUnanswered: true });
  const listUsable = () =>
    engines.listUsable("s").map(({ record }) => record.engineId).join("");
  return { clock, engines, asked, answering, checks, doubt, listUsable };
}

test("an upstream that answers again is used again", async () => {
  const { clock, answering, checks, doubt, listUsable } = makeChecks();
  doubt("a");
  answering.add("a");
  assert.is(await checks.check("s"), false);
  clock.ms = 100;
  assert.is(await checks.check("s"), true);
  assert.is(listUsable(), "abcdef");
});

test("an answer to an earlier probe needs no other one", async () => {
  const { clock, asked, checks, doubt, engines } = makeChecks();
  doubt("a");
  clock.ms = 60;
  engines.noteProbeAnswered("a");
  clock.ms = 100;
  assert.is(await checks.check("s"), true);
  assert.equal(asked, []);
});

test("an upstream that answered and failed otherwise stays left out", async () => {
  const { clock, asked, checks, engines } = makeChecks();
  engines.suspect("a", "refused with 421");
  clock.ms = 1_000;
  assert.is(await checks.check("s"), false);
  assert.equal(asked, []);
});

test("upstreams that are gone cost few probes, however often requests ask", async () => {
  const { clock, asked, checks, doubt } = makeChecks();
  [..."abcdef"].forEach(doubt);
  for (; clock.ms < 1_400; clock.ms += 10) {
    const before = asked.length;
    await checks.check("s");
    assert.ok(asked.length - before <= 4);
  }
  assert.ok(asked.length <= 4 * 6, `${asked.length} probes`);
});

test("an upstream that is left out again and again is checked ever later", async () => {
  const { clock, answering, checks, doubt } = makeChecks();
  answering.add("a");
  const waitsMs = [];
  for (let count = 0; count < 4; count++) {
    doubt("a");
    const suspectedMs = clock.ms;
    while (!await checks.check("s")) clock.ms += 10;
    waitsMs.push(clock.ms - suspectedMs);
  }
  assert.equal(waitsMs, [100, 200, 400, 800]);
});

test.run();
