import { test } from "uvu";
import * as assert from "uvu/assert";
import { createStallReports } from "./create_stall_reports.ts";

const ENGINE = { engineId: "e", address: "e:80" };
const STALLED = [{ requestId: "r", address: "f:80" }];

function createTestWatch({ canQuery }: { readonly canQuery: () => boolean }) {
  const asked: string[] = [];
  const leaving: string[] = [];
  const clock = { ms: 0 };
  const watch = createStallReports({
    engineControl: {
      listStalledRequests(address, { onNotice }) {
        asked.push(address);
        onNotice?.({ isLeaving: true });
        return Promise.resolve(STALLED);
      },
    },
    onNotice: (engineId) => void leaving.push(engineId),
    mayQuery: canQuery,
    now: () => clock.ms,
  });
  return { watch, asked, leaving, clock };
}

test("a report is cached for a moment, and its notice that the engine leaves is passed on", async () => {
  const { watch, asked, leaving, clock } = createTestWatch({
    canQuery: () => true,
  });
  assert.equal(await watch.read(ENGINE), STALLED);
  assert.equal(await watch.read(ENGINE), STALLED);
  assert.equal(asked, ["e:80"]);
  assert.equal(leaving, ["e"]);
  clock.ms = 300;
  await watch.read(ENGINE);
  assert.is(asked.length, 2);
});

test("an engine that may not be queried counts as having no stalled requests", async () => {
  const { watch, asked } = createTestWatch({ canQuery: () => false });
  assert.equal(await watch.read(ENGINE), []);
  assert.equal(asked, []);
});

test.run();
