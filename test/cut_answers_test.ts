/**
 * Guards against answers that an upstream breaks off by closing their connection in
 * order, and that reach callers as whole ones.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import type { LayerEngine } from "../standins/index.ts";
import {
  addEnginesPerPlace,
  call,
  expectStream,
  startServingFleet,
  type TestFleet,
} from "./support/fleet.ts";

const EVENT_COUNT = 20;

const STATUS_LINE = "HTTP/1.1 200 OK\r\n";

/** Head of an answer with neither a length nor chunks, without its empty line. */
const makeHead = (requestId: string) =>
  `${STATUS_LINE}x-attempt-id: ${requestId}\r\nx-server-seal: s\r\n`;

/** What an upstream sends before it closes the connection. */
const CUT_HEADS: Readonly<Record<string, (requestId: string) => string>> = {
  "within the status line": () => STATUS_LINE.slice(0, 12),
  "behind the status line": () => STATUS_LINE,
  "within the name of a field": (id) => `${makeHead(id)}content-le`,
  "within the value of a field": (id) => `${makeHead(id)}content-length: 2`,
  "before the empty line": makeHead,
  "within the empty line": (id) => `${makeHead(id)}\r`,
  "behind an interim head": (id) =>
    `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\n${makeHead(id)}`,
};

/** Lets the next upstream that is asked send these bytes, and the others answer. */
function cutNextAnswer(
  upstreams: readonly LayerEngine[],
  makeBytes: (requestId: string) => string,
): void {
  const answersWith = (requestId: string) => {
    for (const { fault } of upstreams) delete fault.answersWith;
    return makeBytes(requestId);
  };
  for (const { fault } of upstreams) fault.answersWith = answersWith;
}

async function startFleet(): Promise<TestFleet> {
  const size = { controls: 1, gateways: 1, events: EVENT_COUNT };
  const fleet = await startServingFleet(size);
  await addEnginesPerPlace(fleet);
  return fleet;
}

function countRuns(
  upstreams: readonly LayerEngine[],
  requestId: string,
): number {
  return upstreams.flatMap(({ runs }) => runs)
    .filter((run) => run.requestId === requestId).length;
}

test("a plain answer that ends within its head is no success", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  for (const [place, makeBytes] of Object.entries(CUT_HEADS)) {
    cutNextAnswer(fleet.plain, makeBytes);
    const { status, requestId } = await call(address, { path: "/once/1" });
    assert.is(status, 502, place);
    assert.is(countRuns(fleet.plain, requestId), 1, place);
    await until(
      "the upstreams serve again",
      async () => (await call(address, { path: "/once/1" })).status === 200,
    );
  }
});

test("a stream that ends within its head is run again", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  for (const [place, makeBytes] of Object.entries(CUT_HEADS)) {
    cutNextAnswer(fleet.engines, makeBytes);
    const { text, requestId } = await call(address, { path: "/stream/1" });
    assert.is(text, expectStream(EVENT_COUNT), place);
    assert.is(countRuns(fleet.engines, requestId), 2, place);
  }
});

// Guards against a stream that is closed as complete although it has no event.
test("a stream without length or chunks that ends before its first event is run again", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  for (const comment of ["", ": waiting\n\n"]) {
    cutNextAnswer(fleet.engines, (id) => `${makeHead(id)}\r\n${comment}`);
    const { text, requestId } = await call(address, { path: "/stream/1" });
    assert.is(text, `${comment}${expectStream(EVENT_COUNT)}`);
    assert.is(countRuns(fleet.engines, requestId), 2);
  }
});

// Guards against a short body that is passed on as a whole one because another process
// listens at the address of the one that ended.
test("an answer without a length whose upstream ends and is started anew at once is no success", async () => {
  await using fleet = await startFleet();
  const [{ address }] = fleet.gateways;
  for (const { fault } of fleet.plain) fault.changesIdOnRestart = true;
  cutNextAnswer(fleet.plain, (id) => `${makeHead(id)}\r\npart`);
  const { status } = await call(address, { path: "/once/1" });
  assert.is(status, 502);
});

test.run();
