import { test } from "uvu";
import * as assert from "uvu/assert";
import {
  type EventLoopDelay,
  startEventLoopMonitor,
} from "./start_event_loop_monitor.ts";

test("a blocked event loop is reported with the length of the delay", async () => {
  let nowMs = 0;
  const delay = await new Promise<EventLoopDelay>((resolve) => {
    const monitor = startEventLoopMonitor({
      onDelay(reported) {
        monitor[Symbol.dispose]();
        resolve(reported);
      },
      now: () => nowMs,
    });
    nowMs = 2_100;
  });
  assert.equal(delay, { delayMs: 2_000 });
});

test.run();
