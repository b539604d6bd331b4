/**
 * Guards against runs that all leave a draining engine at the same moment: the engines
 * that take them over read the tokens of all of them first, so that all pause.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import { createRunMigrator } from "./create_run_migrator.ts";
import type { StreamRelay } from "./create_stream_relay.ts";
import type { StreamRun } from "./start_stream_run.ts";
import type { Call, ServingContext } from "./types.ts";

const DRAIN_MS = 2_500;
const POLL_MS = 50;
const RUN = {
  hasBegun: true,
  path: [{ engineId: "first" }, { engineId: "leaving" }],
} as unknown as StreamRun;

/** Plays 100 runs over a draining engine; returns the time of each first attempt. */
function playLeave(upstreamDrainMs: number): number[] {
  const { integer } = createRandomSource(1);
  let nowMs = 0;
  const firstMovesMs: number[] = [];
  const migrators = Array.from({ length: 100 }, (_, at) => {
    const context = {
      engines: { isLeaving: (id: string) => id === "leaving" },
      metrics: { count: () => {} },
      // A held request is not moved, so that each attempt is seen here and ends.
      quarantine: {
        judge() {
          firstMovesMs[at] ??= nowMs;
          return { type: "held", leftMs: 1_000 };
        },
      },
      upstreamDrainMs,
      now: () => nowMs,
      random: () => integer(0, 999) / 1_000,
    } as unknown as ServingContext;
    return createRunMigrator(
      { request: {} } as unknown as Call,
      context,
      {
        relay: {} as StreamRelay,
        excluded: new Set(),
        isCurrent: () => true,
      },
    );
  });
  for (; nowMs <= DRAIN_MS; nowMs += POLL_MS) {
    migrators.forEach((migrator) => migrator.checkLeaving(RUN));
  }
  return firstMovesMs;
}

test("runs leave a draining engine one after the other, before it ends", () => {
  const firstMovesMs = playLeave(DRAIN_MS);
  assert.is(firstMovesMs.filter((ms) => ms <= DRAIN_MS - 900).length, 100);
  for (let fromMs = 0; fromMs < DRAIN_MS; fromMs += POLL_MS) {
    const moves = firstMovesMs
      .filter((ms) => ms >= fromMs && ms < fromMs + 100).length;
    assert.ok(moves <= 25, `${moves} moves from ${fromMs} ms on`);
  }
});

test("runs leave at once where it is unknown how long the engine serves", () => {
  assert.equal([...new Set(playLeave(0))], [0]);
});

test.run();
