import { test } from "uvu";
import * as assert from "uvu/assert";
import { type LoopDelay, startLoopWatch } from "./start_loop_watch.ts";

test("an event loop that stood still is told with how long", async () => {
  let nowMs = 0;
  const delay = await new Promise<LoopDelay>((resolve) => {
    const watch = startLoopWatch({
      onDelay(told) {
        watch[Symbol.dispose]();
        resolve(told);
      },
      now: () => nowMs,
    });
    nowMs = 2_100;
  });
  assert.equal(delay, { delayMs: 2_000 });
});

test.run();
