/**
 * Guards against moves that make runs pause for longer than needed. The engines that
 * take a run over read all of its tokens first: runs paused for each other where all
 * left a draining engine at the same moment, and where one run moved several times
 * because engines that failed together were reported one by one.
 */

import { setImmediate } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRandomSource } from "../../proof/random_source.ts";
import {
  makeHolderContext,
  MOVED_CALL,
} from "../../test/support/make_holder_context.ts";
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
async function playLeave(upstreamDrainMs: number): Promise<number[]> {
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
        onStranded: () => {},
      },
    );
  });
  for (; nowMs <= DRAIN_MS; nowMs += POLL_MS) {
    migrators.forEach((migrator) => migrator.checkLeaving(RUN));
    await setImmediate();
  }
  return firstMovesMs;
}

test("runs leave a draining engine one after the other, before it ends", async () => {
  const firstMovesMs = await playLeave(DRAIN_MS);
  assert.is(firstMovesMs.filter((ms) => ms <= DRAIN_MS - 900).length, 100);
  for (let fromMs = 0; fromMs < DRAIN_MS; fromMs += POLL_MS) {
    const moves = firstMovesMs
      .filter((ms) => ms >= fromMs && ms < fromMs + 100).length;
    assert.ok(moves <= 25, `${moves} moves from ${fromMs} ms on`);
  }
});

test("runs leave at once where it is unknown how long the engine serves", async () => {
  assert.equal([...new Set(await playLeave(0))], [0]);
});

/** A run over e1 and e2, which are lost to it one after the other. */
function startRun(holderIds: readonly string[]) {
  const { context, triedEngineIds } = makeHolderContext(holderIds);
  const left: string[] = [];
  let path = ["e1", "e2"].map((engineId, at) => ({
    engineId,
    address: `${engineId}:80`,
    fromLayer: 4 * at,
    toLayer: 4 * at + 4,
  }));
  const run = {
    hasBegun: true,
    get path() {
      return path;
    },
    switchPath: (next: typeof path) => void (path = next),
  } as unknown as StreamRun;
  const excluded = new Set<string>();
  const migrator = createRunMigrator(MOVED_CALL, context, {
    relay: { restartSilence: () => {} } as StreamRelay,
    excluded,
    isCurrent: () => left.length === 0,
    onStranded: (_run, { engineId }) => void left.push(engineId),
  });
  const fail = (engineId: string) => {
    excluded.add(engineId);
    return migrator.leaveFailedEngine(run, { engineId, reason: "lost" });
  };
  const checkStall = () => migrator.checkStall(run);
  return { context, checkStall, fail, left, triedEngineIds };
}

test("a run that two sources tell to leave an engine moves once", async () => {
  const { fail, left, triedEngineIds } = startRun(["e2", "e3", "e4"]);
  await Promise.all([fail("e2"), fail("e2")]);
  assert.equal(triedEngineIds, ["e3"]);
  assert.equal(left, []);
});

test("a run moves again only where its new path has a lost engine, too", async () => {
  const { fail, left, triedEngineIds } = startRun(["e2", "e3", "e4"]);
  await Promise.all([fail("e2"), fail("e4"), fail("e3")]);
  // The search for the first path already knows of all three, and finds none.
  assert.equal(triedEngineIds, []);
  assert.equal(left, ["e2"]);
  const other = startRun(["e2", "e3", "e4"]);
  const first = other.fail("e2");
  await first;
  await Promise.all([other.fail("e4"), other.fail("e3")]);
  assert.equal(other.triedEngineIds, ["e3"]);
  assert.equal(other.left, ["e3"]);
});

test("the loss of the first engine ends a run at once, whatever it waits for", async () => {
  const { context, fail, left } = startRun(["e2", "e3"]);
  Object.assign(context.engineControl, {
    changePath: () => new Promise(() => {}),
  });
  void fail("e2");
  await setImmediate();
  await fail("e1");
  assert.equal(left, ["e1"]);
});

test("a stall check that waited for a move doesn't judge the moved run", async () => {
  const { context, checkStall, fail, left } = startRun(["e2", "e3"]);
  let reportsRead = 0;
  Object.assign(context, {
    stallReports: {
      read() {
        reportsRead += 1;
        return Promise.resolve([{ requestId: "r", address: "e2:80" }]);
      },
    },
  });
  const move = fail("e2");
  checkStall();
  await move;
  await setImmediate();
  assert.is(reportsRead, 0);
  assert.equal(left, []);
});

test.run();
