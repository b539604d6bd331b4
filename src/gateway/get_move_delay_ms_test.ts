import { test } from "uvu";
import * as assert from "uvu/assert";
import { getMoveDelayMs } from "./get_move_delay_ms.ts";

const DRAIN_MS = 2_500;

test("moves are spread over the drain time and leave time for further attempts", () => {
  const delaysMs = Array.from(
    { length: 100 },
    (_, at) => getMoveDelayMs({ drainMs: DRAIN_MS, random: at / 100 }),
  );
  assert.is(delaysMs[0], 0);
  assert.ok(Math.max(...delaysMs) < DRAIN_MS - 900);
  const inFirst100Ms = delaysMs.filter((delayMs) => delayMs < 100).length;
  assert.ok(inFirst100Ms <= 7, `${inFirst100Ms}`);
});

test("a run moves at once where the drain time is unknown", () => {
  assert.is(getMoveDelayMs({ drainMs: 0, random: 0.9 }), 0);
});

test.run();
