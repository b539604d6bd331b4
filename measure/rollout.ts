/**
 * What a new version of the configuration costs the leader and each gateway, and
 * how long a gateway takes to find the leader.
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
import { createActiveConfig } from "../src/gateway/create_active_config.ts";
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

/** Versions to measure: routes before, and routes that the next version adds. */
const VERSION_CHANGES = [
  { routes: 245, added: 0 },
  { routes: 245, added: 1_400 },
  { routes: 1_925, added: 0 },
];

const GATEWAY_COUNTS = [11, 76, 300];

/** Runs of each case; only the last is reported, after JIT warm-up. */
const RUNS = 4;

/** Numbers of unresponsive control processes listed before the leader. */
const UNRESPONSIVE = [0, 1, 2, 4];

/** Measures the cost of a version and the time a gateway takes to find the leader. */
export async function measureRollout(): Promise<void> {
  printTable(
    VERSION_CHANGES.flatMap((change) =>
      GATEWAY_COUNTS.map((gateways) => {
        const rows = Array.from(
          { length: RUNS },
          () => measureConfigVersion({ ...change, gateways }),
        );
        return rows[RUNS - 1];
      })
    ),
  );
  const searches: TableRow[] = [];
  for (const count of UNRESPONSIVE) searches.push(await measureSearch(count));
  printTable(searches);
}

async function measureSearch(
  unresponsiveCount: number,
): Promise<TableRow> {
  const servers: SessionServer[] = [];
  for (let at = 0; at < unresponsiveCount; at++) {
    servers.push(await startSessionServer(() => {}));
  }
  let welcomedMs = 0;
  await using leader = await startSessionServer((message, send) => {
    if (message.type === "hello") send(WELCOME);
    else welcomedMs ||= performance.now();
  });
  const addresses = [...servers, leader].map(({ address }) => address);
  const startedMs = performance.now();
  {
    await using _gateway = await startOneGateway(addresses);
    await until(
      "the gateway has a session with the leader",
      () => welcomedMs > 0,
    );
  }
  await Promise.all(servers.map((one) => one[Symbol.asyncDispose]()));
  return {
    silent: unresponsiveCount,
    "found after, ms": Math.round(welcomedMs - startedMs),
  };
}

function measureConfigVersion(
  options: { routes: number; added: number; gateways: number },
): TableRow {
  const { routes, added, gateways } = options;
  const from = makeConfigVersion(3, { routes });
  const to = makeConfigVersion(5, { routes: routes + added });
  const history = createConfigHistory({ decodeConfig });
  history.add(from);
  history.add(to);
  const messages = createConfigMessages({
    history,
    format: (message) => formatLeaderMessage(message, createEngineNumbers()),
    metrics: { count: () => {} },
  });
  const [formatMs, leaderMessage] = measureTime(() => {
    let message = messages.get(to, from.version);
    for (let at = 1; at < gateways; at++) {
      message = messages.get(to, from.version);
    }
    return message;
  });
  const [encodeMs, bytes] = measureTime(() => {
    let length = 0;
    for (let at = 0; at < gateways; at++) {
      length = wire.FleetMessage.encode(leaderMessage).finish().length;
    }
    return length;
  });
  const [validateMs] = measureTime(() =>
    findConfigProblems(history.read(to.packed))
  );
  const gatewayConfig = createActiveConfig({
    decodeConfig,
    onChange: () => {},
    onBaseMismatch: () => {
      throw new Error(
        "the change does not apply to the version that the gateway holds",
      );
    },
    now: () => performance.now(),
    log: () => {},
    metrics: { timing: () => {} },
  });
  gatewayConfig.applyFull({ type: "config", ...from });
  const [applyMs] = measureTime(() => {
    const message = parseLeaderMessage(leaderMessage, createEngineNumbers());
    if (message.type === "config") gatewayConfig.applyFull(message);
    if (message.type === "configChange") gatewayConfig.applyChange(message);
  });
  return {
    routes,
    added,
    gateways,
    bytes,
    "check, ms": validateMs,
    "made by the leader, ms": formatMs,
    "written, ms": encodeMs,
    "applied by a gateway, ms": applyMs,
  };
}

function makeConfigVersion(version: number, options: { routes: number }) {
  const document = JSON.stringify(makeLargeWireConfig(version, options));
  return { version, packed: packDocument(document) };
}

function measureTime<Value>(work: () => Value): [string, Value] {
  const startedMs = performance.now();
  const value = work();
  return [(performance.now() - startedMs).toFixed(1), value];
}
