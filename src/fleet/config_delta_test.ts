import { test } from "uvu";
import * as assert from "uvu/assert";
import { applyConfigDelta, createConfigDelta } from "./config_delta.ts";
import type { AcceptedConfig } from "./create_fleet_machine.ts";
import { createEngineNumbers } from "./create_engine_numbers.ts";
import { createWrittenNews } from "./create_written_news.ts";
import { packDocument } from "./pack_document.ts";
import { parseLeaderMessage } from "./session_messages.ts";

const ROUTES = 1_400;

/** A document with routes, one of which has another timeout in each version. */
function makeDocument(version: number): string {
  const routes = Array.from({ length: ROUTES }, (_, at) => ({
    name: `r-${(Math.imul(at + 1, 2_654_435_761) >>> 0).toString(36)}`,
    host: "é.example",
    timeoutMs: at === version * 7 ? 19_000 : 20_000,
  }));
  return JSON.stringify({ version, routes });
}

function makeConfig(version: number): AcceptedConfig {
  return { version, packed: packDocument(makeDocument(version)) };
}

function startNews() {
  const news = createWrittenNews({
    getEngines: () => [],
    knowsAllEngines: () => true,
    metrics: { count: () => {} },
  });
  const tell = (version: number, fromVersion: number) =>
    parseLeaderMessage(
      news.formatConfig(makeConfig(version), fromVersion),
      createEngineNumbers(),
    );
  return { news, tell };
}

test("a change of one of 1,400 routes takes a few bytes and gives the same document", () => {
  const [from, to] = [makeDocument(3), makeDocument(5)];
  const delta = createConfigDelta(from, to);
  assert.ok(delta.length < 200, `${delta.length} characters`);
  assert.is(applyConfigDelta(from, delta), to);
});

test("a change is refused where the document is another one", () => {
  const delta = createConfigDelta(makeDocument(3), makeDocument(5));
  assert.throws(() => applyConfigDelta(makeDocument(4), delta));
});

test("who has a version that is known is told the change, others the whole", () => {
  const { tell } = startNews();
  assert.is(tell(3, -1).type, "config");
  const change = tell(5, 3);
  assert.ok(change.type === "configChange" && change.fromVersion === 3);
  assert.is(applyConfigDelta(makeDocument(3), change.delta), makeDocument(5));
  assert.is(tell(5, -1).type, "config");
  assert.is(tell(5, 4).type, "config");
});

test("a new leader tells gateways that are up to date the next version as a change", () => {
  const { news, tell } = startNews();
  news.noteConfig(makeConfig(3));
  assert.is(tell(5, 3).type, "configChange");
});

test("who lags by some versions is told one change, who lags by many the whole", () => {
  const { tell } = startNews();
  for (const version of [1, 2, 3, 4, 5]) tell(version, version - 1);
  const change = tell(5, 2);
  assert.ok(change.type === "configChange");
  assert.is(applyConfigDelta(makeDocument(2), change.delta), makeDocument(5));
  assert.is(tell(5, 1).type, "config");
});

test.run();
