/**
 * Slopes of control: what it costs for each entry, account, engine and change.
 * Many real agents in one process hold sessions with real control processes.
 *
 * @module
 */

import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { type Fleet, launchFleet } from "../demo/launch_fleet.ts";
import { type Agent, createAgent } from "../src/entry/create_agent.ts";
import {
  type ConfigReplica,
  createConfigReplica,
} from "../src/entry/create_config_replica.ts";
import { hashSecret } from "../src/http/index.ts";
import { createLogger } from "../src/logs/index.ts";
import { createMetrics } from "../src/metrics/index.ts";
import { EntrySettingsSchema, parseSettings } from "../src/settings/index.ts";
import { readStatus } from "./failover_scenarios.ts";
import { printTable, type TableRow } from "./print_table.ts";
import {
  readLoopbackBytes,
  readProcessorMs,
  readResidentMb,
} from "./process_meter.ts";

/** Numbers of entries at which control is measured. */
const ENTRY_COUNTS = [50, 150, 330];

/** Ms of a reading. */
const READING_MS = 10_000;

/** Client accounts that each measured entry reports demand for. */
const ACTIVE_ACCOUNTS = 20;

/** Changes of which the time until they are in force is taken. */
const CHANGES = 40;

interface Crowd extends AsyncDisposable {
  readonly agents: readonly Agent[];
  readonly configs: readonly ConfigReplica[];
}

function startCrowd(fleet: Fleet, count: number): Crowd {
  const log = createLogger({ program: "crowd", level: "error" });
  const metrics = createMetrics();
  const configs = Array.from({ length: count }, () => createConfigReplica());
  const demandPerS = Object.fromEntries(
    Array.from({ length: ACTIVE_ACCOUNTS }, (_v, at) => [`account-${at}`, at]),
  );
  const agents = configs.map((config, at) => {
    const text = JSON.stringify({
      fleetId: "trial",
      vm: `entry-${at}`,
      place: `place-${at % 8}`,
      listen: { port: 0 },
      controlAddresses: fleet.peerAddresses,
    });
    const settings = parseSettings(text, {
      file: "crowd",
      schema: EntrySettingsSchema,
    });
    const agent = createAgent({
      settings,
      incarnation: `i${at}`,
      config,
      getReport: () => ({ inFlight: at % 7, demandPerS, poolDemandPerS: {} }),
      isLeaving: () => false,
      log,
      metrics,
      now: () => performance.now(),
      random: Math.random,
    });
    agent.start(`http://127.0.0.1:${10_000 + at}`);
    return agent;
  });
  return {
    agents,
    configs,
    async [Symbol.asyncDispose]() {
      for (const agent of agents) await agent[Symbol.asyncDispose]();
    },
  };
}

async function findProcessIds(fleet: Fleet) {
  const { leader } = await readStatus(fleet);
  const leading = fleet.controls.find((control) => control.name === leader);
  const following = fleet.controls.find((control) => control.name !== leader);
  return {
    leader: leading?.getProcessId() ?? 0,
    follower: following?.getProcessId() ?? 0,
  };
}

/** Measures the slopes of control. */
export async function measureCapacity(): Promise<void> {
  await using fleet = await launchFleet({ entries: 0 });
  const rows: TableRow[] = [await readRow(fleet, 0)];
  const changeRows: TableRow[] = [];
  for (const count of ENTRY_COUNTS) {
    await using crowd = startCrowd(fleet, count);
    await fleet.until("all entries are live", async () => {
      const { entries } = await readStatus(fleet);
      return entries.length === count;
    });
    await sleep(3_000);
    rows.push(await readRow(fleet, count));
    changeRows.push(await measureChanges(fleet, crowd));
  }
  printTable(rows);
  printTable(changeRows);
  printTable(await measureState(fleet));
}

async function readRow(fleet: Fleet, entries: number): Promise<TableRow> {
  const ids = await findProcessIds(fleet);
  const before = await readAll(ids);
  await sleep(READING_MS);
  const after = await readAll(ids);
  const percent = (a: number, b: number) =>
    (((b - a) / READING_MS) * 100).toFixed(2);
  const perS = (after.bytes - before.bytes) / (READING_MS / 1_000);
  return {
    entries,
    "leader % of a core": percent(before.leaderMs, after.leaderMs),
    "follower % of a core": percent(before.followerMs, after.followerMs),
    "all agents % of a core": percent(before.ownMs, after.ownMs),
    "loopback bytes/s": Math.round(perS),
    "bytes/s an entry": entries === 0 ? "" : Math.round(perS / entries),
    "leader MB": after.leaderMb.toFixed(0),
    "agents' heap MB": after.heapMb.toFixed(1),
  };
}

async function readAll(ids: { leader: number; follower: number }) {
  const { user, system } = process.cpuUsage();
  return {
    leaderMs: await readProcessorMs(ids.leader),
    followerMs: await readProcessorMs(ids.follower),
    ownMs: (user + system) / 1_000,
    bytes: await readLoopbackBytes(),
    leaderMb: await readResidentMb(ids.leader),
    heapMb: process.memoryUsage().heapUsed / 2 ** 20,
  };
}

async function measureChanges(fleet: Fleet, crowd: Crowd): Promise<TableRow> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const bytesBefore = await readLoopbackBytes();
  const startedMs = performance.now();
  for (let change = 0; change < CHANGES; change++) {
    const name = `account-${crowd.agents.length}-${change}`;
    const spec = { keySha256: [hashSecret(name)], requestsPerS: 10 };
    const { revision } = await fleet.operator.call<{ revision: number }>({
      method: "PUT",
      path: `/v1/resources/clientAccount/${name}`,
      body: { spec, revision: 0 },
    });
    const acceptedMs = performance.now();
    while (crowd.configs.some((one) => one.getState().revision < revision)) {
      await sleep(1);
    }
    const inForceMs = performance.now() - acceptedMs;
    histogram.recordValue(Math.max(1, Math.round(inForceMs * 10)));
    await sleep(50);
  }
  const elapsedS = (performance.now() - startedMs) / 1_000;
  const bytes = await readLoopbackBytes() - bytesBefore;
  return {
    entries: crowd.agents.length,
    "in force p50 ms": histogram.getValueAtPercentile(50) / 10,
    "in force p99 ms": histogram.getValueAtPercentile(99) / 10,
    "bytes/s an entry, with changes": Math.round(
      bytes / elapsedS / crowd.agents.length,
    ),
    "changes a second": (CHANGES / elapsedS).toFixed(1),
  };
}

// What the accepted state costs an entry: its size as text and on the heap.
async function measureState(fleet: Fleet): Promise<TableRow[]> {
  const rows: TableRow[] = [];
  for (const accounts of [100, 300, 920]) {
    await declareAccounts(fleet, accounts);
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const cpuBefore = process.cpuUsage();
    const bytesBefore = await readLoopbackBytes();
    await using crowd = startCrowd(fleet, 20);
    await fleet.until(
      "the entries have the state",
      () =>
        crowd.configs.every((one) => one.getState().resources.size >= accounts),
    );
    const bytes = await readLoopbackBytes() - bytesBefore;
    const cpu = process.cpuUsage(cpuBefore);
    globalThis.gc?.();
    const heap = process.memoryUsage().heapUsed - heapBefore;
    rows.push({
      "resources": crowd.configs[0].getState().resources.size,
      "bytes to an entry": Math.round(bytes / 20),
      "ms of processor an entry": ((cpu.user + cpu.system) / 20_000).toFixed(1),
      "heap KB an entry": Math.round(heap / 20 / 1_024),
    });
  }
  return rows;
}

async function declareAccounts(fleet: Fleet, count: number): Promise<void> {
  const { items } = await fleet.operator.call<{ items: { name: string }[] }>({
    path: "/v1/resources/clientAccount",
  });
  const known = new Set(items.map((item) => item.name));
  for (let at = 0; known.size < count; at++) {
    const name = `customer-${at}`;
    if (known.has(name)) continue;
    known.add(name);
    const spec = { keySha256: [hashSecret(name)], requestsPerS: 10, weight: 1 };
    await fleet.operator.call({
      method: "PUT",
      path: `/v1/resources/clientAccount/${name}`,
      body: { spec, revision: 0 },
    });
  }
}
