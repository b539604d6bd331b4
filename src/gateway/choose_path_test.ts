import { test } from "uvu";
import * as assert from "uvu/assert";
import type { LayeredModel } from "../routes/index.ts";
import { choosePath } from "./choose_path.ts";
import { createEngineTable } from "./create_engine_table.ts";

const MODEL: LayeredModel = {
  layers: 8,
  layerMb: 100,
  kvTokenBytes: 1_000,
  loadMs: 1_000,
  loadsAtOnce: 6,
  slots: 8,
  stepMs: 1,
  readTokensPerS: 1_000,
  usualPromptTokens: 20,
  usualAnswerTokens: 20,
  cards: [
    { name: "fast", memoryMb: 2_000, stepFactor: 1, readFactor: 1 },
    { name: "slow", memoryMb: 2_000, stepFactor: 2, readFactor: 2 },
  ],
};

test("streams that lose their copy in one moment go on over several others", () => {
  const table = createEngineTable({
    now: () => 0,
    log: () => {},
    onGone: () => {},
  });
  const makeCopy = (place: string, card: string) => ({
    engineId: place,
    service: "model",
    address: `${place}:1`,
    place,
    slots: 8,
    isLeaving: false,
    card,
    layers: { fromLayer: 0, toLayer: 8 },
  });
  const engines = [makeCopy("b", "fast"), makeCopy("c", "slow")];
  table.take({ type: "engines", isWhole: true, engines, gone: [] });
  const begin = () => {
    const path = choosePath(table.listUsable("model"), {
      model: MODEL,
      place: "a",
      gatewayCount: 4,
      excluded: new Set(),
      nowMs: 0,
    });
    const engineId = path?.[0].engineId ?? "none";
    return { engineId, end: table.beginPrompt(engineId) };
  };
  const alone = begin();
  assert.is(alone.engineId, "b");
  alone.end();
  const burst = Array.from({ length: 9 }, begin);
  const onSlow = burst.filter(({ engineId }) => engineId === "c").length;
  assert.is(onSlow, 4);
  burst.forEach(({ end }) => end());
  assert.is(begin().engineId, "b");
});

test.run();
