import { test } from "uvu";
import * as assert from "uvu/assert";
import { decodeConfig } from "../../platform/decode_config.ts";
import { makeLargeWireConfig, makeWireConfig } from "../../standins/index.ts";
import { applyConfigChange, type RouteConfig } from "../routes/index.ts";
import { wire } from "../wire/index.ts";
import { createConfigHistory } from "./create_config_history.ts";
import { createConfigMessages } from "./create_config_messages.ts";
import { createEngineNumbers } from "./create_engine_numbers.ts";
import type { LeaderMessage } from "./messages.ts";
import { packDocument } from "./pack_document.ts";
import { formatLeaderMessage, parseLeaderMessage } from "./session_messages.ts";

function makeDocument(version: number): string {
  return JSON.stringify(makeLargeWireConfig(version, { routes: 1_400 }));
}

const makeConfig = (version: number) => ({
  version,
  packed: packDocument(makeDocument(version)),
});

function startMessages() {
  const history = createConfigHistory({ decodeConfig });
  const numbers = createEngineNumbers();
  const counts: string[] = [];
  const messages = createConfigMessages({
    history,
    format: (message) => formatLeaderMessage(message, numbers),
    metrics: { count: (name) => void counts.push(name) },
  });
  const get = (version: number, fromVersion: number) =>
    messages.get(makeConfig(version), fromVersion);
  const tell = (version: number, fromVersion: number) =>
    parseLeaderMessage(get(version, fromVersion), createEngineNumbers());
  const note = (...versions: number[]) =>
    versions.forEach((version) => history.note(makeConfig(version)));
  return { messages, get, tell, note, counts };
}

/** Routes by name, so that their order doesn't count. */
function sortRoutes(config: RouteConfig): RouteConfig {
  const routes = [...config.routes].sort((a, b) => a.name < b.name ? -1 : 1);
  return { ...config, routes };
}

/** Checks that a message leads from one version to another. */
function assertLeads(
  told: LeaderMessage,
  fromVersion: number,
  version: number,
) {
  assert.ok(told.type === "configChange");
  const from = decodeConfig(makeDocument(fromVersion));
  assert.equal(
    sortRoutes(applyConfigChange(from, told.change)),
    sortRoutes(decodeConfig(makeDocument(version))),
  );
}

test("a change of two of 1,400 routes takes a few bytes and gives the same configuration", () => {
  const { get, tell, note } = startMessages();
  note(3, 5);
  const bytes = wire.FleetMessage.encode(get(5, 3)).finish().length;
  assert.ok(bytes < 700, `${bytes} bytes`);
  assertLeads(tell(5, 3), 3, 5);
});

test("who has a version that is known is told the change, others the whole", () => {
  const { tell, note } = startMessages();
  note(3, 5);
  assert.is(tell(3, -1).type, "config");
  assert.is(tell(5, 3).type, "configChange");
  assert.is(tell(5, -1).type, "config");
  assert.is(tell(5, 4).type, "config");
});

test("who lags by some versions is told one change, who lags by many the whole", () => {
  const { tell, note } = startMessages();
  note(...Array.from({ length: 20 }, (_, at) => at + 1));
  assertLeads(tell(20, 5), 5, 20);
  assert.is(tell(20, 1).type, "config");
});

test("a change that is longer than the whole is not told, and not made again", () => {
  const { messages, note, counts } = startMessages();
  note(3);
  // Naming 1,400 routes that go takes more than the three that are there.
  const document = JSON.stringify(makeWireConfig(5));
  const accepted = { version: 5, packed: packDocument(document) };
  const told = messages.get(accepted, 3);
  assert.is(parseLeaderMessage(told, createEngineNumbers()).type, "config");
  assert.is(messages.get(accepted, 3), told);
  assert.equal(counts, ["config.changes_made"]);
});

test.run();
