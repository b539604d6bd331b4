/**
 * Capacity of the control plane: what each additional entry, client account and
 * configuration change costs. One process runs many real agents, which hold
 * sessions with real control processes.
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
  readCpuTimeMs,
  readLoopbackBytes,
  readResidentMb,
} from "./process_meter.ts";

/** Numbers of entries at which the control processes are measured. */
const ENTRY_COUNTS = [50, 150, 330];

/** Time over which resource usage is sampled, in ms. */
const SAMPLE_DURATION_MS = 10_000;

/** Client accounts that each measured entry reports demand for. */
const ACTIVE_ACCOUNTS = 20;

/** Changes whose time to take effect at all entries is measured. */
const CHANGE_COUNT = 40;

interface AgentGroup extends AsyncDisposable {
  readonly agents: readonly Agent[];
  readonly configs: readonly ConfigReplica[];
}

function startAgents(fleet: Fleet, count: number): AgentGroup {
  const log = createLogger({ program: "agents", level: "error" });
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
      file: "agents",
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
  const leaderProcess = fleet.controls.find((control) =>
    control.name === leader
  );
  const followerProcess = fleet.controls.find((control) =>
    control.name !== leader
  );
  return {
    leader: leaderProcess?.getProcessId() ?? 0,
    follower: followerProcess?.getProcessId() ?? 0,
  };
}

/** Measures what entries, changes and resources cost the control plane. */
export async function measureCapacity(): Promise<void> {
  await using fleet = await launchFleet({ entries: 0 });
  const rows: TableRow[] = [await measureRow(fleet, 0)];
  const changeRows: TableRow[] = [];
  for (const count of ENTRY_COUNTS) {
    await using group = startAgents(fleet, count);
    await fleet.until("all entries are live", async () => {
      const { entries } = await readStatus(fleet);
      return entries.length === count;
    });
    await sleep(3_000);
    rows.push(await measureRow(fleet, count));
    changeRows.push(await measureChanges(fleet, group));
  }
  printTable(rows);
  printTable(changeRows);
  printTable(await measureState(fleet));
}

async function measureRow(fleet: Fleet, entries: number): Promise<TableRow> {
  const ids = await findProcessIds(fleet);
  const before = await readCounters(ids);
  await sleep(SAMPLE_DURATION_MS);
  const after = await readCounters(ids);
  const percent = (a: number, b: number) =>
    (((b - a) / SAMPLE_DURATION_MS) * 100).toFixed(2);
  const perS = (after.bytes - before.bytes) / (SAMPLE_DURATION_MS / 1_000);
  return {
    entries,
    "leader % of a core": percent(before.leaderMs, after.leaderMs),
    "follower % of a core": percent(before.followerMs, after.followerMs),
    "all agents % of a core": percent(before.agentsMs, after.agentsMs),
    "loopback bytes/s": Math.round(perS),
    "bytes/s an entry": entries === 0 ? "" : Math.round(perS / entries),
    "leader MB": after.leaderMb.toFixed(0),
    "agents' heap MB": after.heapMb.toFixed(1),
  };
}

async function readCounters(ids: { leader: number; follower: number }) {
  const { user, system } = process.cpuUsage();
  return {
    leaderMs: await readCpuTimeMs(ids.leader),
    followerMs: await readCpuTimeMs(ids.follower),
    agentsMs: (user + system) / 1_000,
    bytes: await readLoopbackBytes(),
    leaderMb: await readResidentMb(ids.leader),
    heapMb: process.memoryUsage().heapUsed / 2 ** 20,
  };
}

async function measureChanges(
  fleet: Fleet,
  group: AgentGroup,
): Promise<TableRow> {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  const bytesBefore = await readLoopbackBytes();
  const startedMs = performance.now();
  for (let change = 0; change < CHANGE_COUNT; change++) {
    const name = `account-${group.agents.length}-${change}`;
    const spec = { keySha256: [hashSecret(name)], requestsPerS: 10 };
    const { revision } = await fleet.operator.call<{ revision: number }>({
      method: "PUT",
      path: `/v1/resources/clientAccount/${name}`,
      body: { spec, revision: 0 },
    });
    const acceptedMs = performance.now();
    while (group.configs.some((one) => one.getState().revision < revision)) {
      await sleep(1);
    }
    const inForceMs = performance.now() - acceptedMs;
    histogram.recordValue(Math.max(1, Math.round(inForceMs * 10)));
    await sleep(50);
  }
  const elapsedS = (performance.now() - startedMs) / 1_000;
  const bytes = await readLoopbackBytes() - bytesBefore;
  return {
    entries: group.agents.length,
    "in force p50 ms": histogram.getValueAtPercentile(50) / 10,
    "in force p99 ms": histogram.getValueAtPercentile(99) / 10,
    "bytes/s an entry, with changes": Math.round(
      bytes / elapsedS / group.agents.length,
    ),
    "changes a second": (CHANGE_COUNT / elapsedS).toFixed(1),
  };
}

// Measures what the accepted state costs an entry: bytes transferred, processor
// time and heap.
async function measureState(fleet: Fleet): Promise<TableRow[]> {
  const rows: TableRow[] = [];
  for (const accounts of [100, 300, 920]) {
    await declareAccounts(fleet, accounts);
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const cpuBefore = process.cpuUsage();
    const bytesBefore = await readLoopbackBytes();
    await using group = startAgents(fleet, 20);
    await fleet.until(
      "all entries have received the state",
      () =>
        group.configs.every((one) => one.getState().resources.size >= accounts),
    );
    const bytes = await readLoopbackBytes() - bytesBefore;
    const cpu = process.cpuUsage(cpuBefore);
    globalThis.gc?.();
    const heap = process.memoryUsage().heapUsed - heapBefore;
    rows.push({
      "resources": group.configs[0].getState().resources.size,
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
  const existingNames = new Set(items.map((item) => item.name));
  for (let at = 0; existingNames.size < count; at++) {
    const name = `customer-${at}`;
    if (existingNames.has(name)) continue;
    existingNames.add(name);
    const spec = { keySha256: [hashSecret(name)], requestsPerS: 10, weight: 1 };
    await fleet.operator.call({
      method: "PUT",
      path: `/v1/resources/clientAccount/${name}`,
      body: { spec, revision: 0 },
    });
  }
}
