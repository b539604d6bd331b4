/**
 * What a version of the configuration costs the leader and each gateway.
 *
 * @module
 */

import { decodeConfig } from "../platform/decode_config.ts";
import {
  createEngineNumbers,
  formatLeaderMessage,
  packDocument,
  parseLeaderMessage,
} from "../src/fleet/index.ts";
import { createConfigHistory } from "../src/fleet/create_config_history.ts";
import { createConfigMessages } from "../src/fleet/create_config_messages.ts";
import { createHeldConfig } from "../src/gateway/create_held_config.ts";
import { findConfigProblems } from "../src/routes/index.ts";
import { makeLargeWireConfig } from "../standins/index.ts";
import { until } from "../demo/until.ts";
import { startOneGateway } from "../test/support/start_one_gateway.ts";
import {
  type SessionServer,
  startSessionServer,
  WELCOME,
} from "../test/support/start_session_server.ts";
import { wire } from "../src/wire/index.ts";
import { printTable, type TableRow } from "./print_table.ts";

/** Versions to measure: routes before, and routes that the next one adds. */
const CHANGES = [
  { routes: 245, added: 0 },
  { routes: 245, added: 1_400 },
  { routes: 1_925, added: 0 },
];

const GATEWAYS = [11, 76, 300];

/** Runs of each; the last one counts, once the code is warm. */
const RUNS = 4;

/** Control processes that say nothing, asked before the leader. */
const SILENT = [0, 1, 2, 4];

/** Prints what a version costs, and how long a gateway looks for the leader. */
export async function measureRollout(): Promise<void> {
  printTable(
    CHANGES.flatMap((change) =>
      GATEWAYS.map((gateways) => {
        const rows = Array.from(
          { length: RUNS },
          () => measureVersion({ ...change, gateways }),
        );
        return rows[RUNS - 1];
      })
    ),
  );
  const searches: TableRow[] = [];
  for (const silent of SILENT) searches.push(await measureSearch(silent));
  printTable(searches);
}

async function measureSearch(silent: number): Promise<TableRow> {
  const servers: SessionServer[] = [];
  for (let at = 0; at < silent; at++) {
    servers.push(await startSessionServer(() => {}));
  }
  let welcomedMs = 0;
  await using leader = await startSessionServer((message, tell) => {
    if (message.type === "hello") tell(WELCOME);
    else welcomedMs ||= performance.now();
  });
  const addresses = [...servers, leader].map(({ address }) => address);
  const startedMs = performance.now();
  {
    await using _gateway = await startOneGateway(addresses);
    await until("it has a session", () => welcomedMs > 0);
  }
  await Promise.all(servers.map((one) => one[Symbol.asyncDispose]()));
  return { silent, "found after, ms": Math.round(welcomedMs - startedMs) };
}

function measureVersion(
  options: { routes: number; added: number; gateways: number },
): TableRow {
  const { routes, added, gateways } = options;
  const from = makeAccepted(3, { routes });
  const to = makeAccepted(5, { routes: routes + added });
  const history = createConfigHistory({ decodeConfig });
  history.note(from);
  history.note(to);
  const messages = createConfigMessages({
    history,
    format: (message) => formatLeaderMessage(message, createEngineNumbers()),
    metrics: { count: () => {} },
  });
  const [toldMs, told] = time(() => {
    let message = messages.get(to, from.version);
    for (let at = 1; at < gateways; at++) {
      message = messages.get(to, from.version);
    }
    return message;
  });
  const [writtenMs, bytes] = time(() => {
    let length = 0;
    for (let at = 0; at < gateways; at++) {
      length = wire.FleetMessage.encode(told).finish().length;
    }
    return length;
  });
  const [checkedMs] = time(() => findConfigProblems(history.read(to.packed)));
  const held = createHeldConfig({
    decodeConfig,
    onChange: () => {},
    onUnfit: () => {
      throw new Error("The change doesn't fit");
    },
    now: () => performance.now(),
    log: () => {},
    metrics: { timing: () => {} },
  });
  held.take({ type: "config", ...from });
  const [appliedMs] = time(() => {
    const message = parseLeaderMessage(told, createEngineNumbers());
    if (message.type === "config") held.take(message);
    if (message.type === "configChange") held.takeChange(message);
  });
  return {
    routes,
    added,
    gateways,
    bytes,
    "check, ms": checkedMs,
    "made by the leader, ms": toldMs,
    "written, ms": writtenMs,
    "applied by a gateway, ms": appliedMs,
  };
}

function makeAccepted(version: number, options: { routes: number }) {
  const document = JSON.stringify(makeLargeWireConfig(version, options));
  return { version, packed: packDocument(document) };
}

function time<Value>(work: () => Value): [string, Value] {
  const startedMs = performance.now();
  const value = work();
  return [(performance.now() - startedMs).toFixed(1), value];
}
