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
  const receive = (version: number, fromVersion: number) =>
    parseLeaderMessage(get(version, fromVersion), createEngineNumbers());
  const note = (...versions: number[]) =>
    versions.forEach((version) => history.add(makeConfig(version)));
  return { messages, get, receive, note, counts };
}

/** Sorts routes by name, so that their order doesn't matter. */
function sortRoutes(config: RouteConfig): RouteConfig {
  const routes = [...config.routes].sort((a, b) => a.name < b.name ? -1 : 1);
  return { ...config, routes };
}

/** Checks that a message changes one version into another. */
function assertChanges(
  message: LeaderMessage,
  fromVersion: number,
  version: number,
) {
  assert.ok(message.type === "configChange");
  const from = decodeConfig(makeDocument(fromVersion));
  assert.equal(
    sortRoutes(applyConfigChange(from, message.change)),
    sortRoutes(decodeConfig(makeDocument(version))),
  );
}

test("a change of two of 1,400 routes is small and gives the same configuration", () => {
  const { get, receive, note } = startMessages();
  note(3, 5);
  const bytes = wire.FleetMessage.encode(get(5, 3)).finish().length;
  assert.ok(bytes < 700, `${bytes} bytes`);
  assertChanges(receive(5, 3), 3, 5);
});

test("gateways with a known version receive the change, others the full configuration", () => {
  const { receive, note } = startMessages();
  note(3, 5);
  assert.is(receive(3, -1).type, "config");
  assert.is(receive(5, 3).type, "configChange");
  assert.is(receive(5, -1).type, "config");
  assert.is(receive(5, 4).type, "config");
});

test("a gateway that lags receives one change, or everything if it lags by many versions", () => {
  const { receive, note } = startMessages();
  note(...Array.from({ length: 20 }, (_, at) => at + 1));
  assertChanges(receive(20, 5), 5, 20);
  assert.is(receive(20, 1).type, "config");
});

test("a change longer than the full configuration is neither sent nor computed again", () => {
  const { messages, note, counts } = startMessages();
  note(3);
  // The names of 1,400 removed routes take more bytes than the three that are left.
  const document = JSON.stringify(makeWireConfig(5));
  const accepted = { version: 5, packed: packDocument(document) };
  const message = messages.get(accepted, 3);
  assert.is(parseLeaderMessage(message, createEngineNumbers()).type, "config");
  assert.is(messages.get(accepted, 3), message);
  assert.equal(counts, ["config.changes_made"]);
});

test.run();
