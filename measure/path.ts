/**
 * Measures the request path: the latency and throughput cost of an entry, compared with
 * calling the stand-in directly.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { applyTrial } from "../demo/apply_trial.ts";
import { findFreePorts } from "../demo/find_free_ports.ts";
import { launchFleet } from "../demo/launch_fleet.ts";
import { ACCOUNT_KEY, getTrialResources } from "../demo/trial_resources.ts";
import { startPlatform } from "../standins/index.ts";
import { type LoadRequest, type LoadResult, runLoad } from "./load.ts";
import { printTable, type TableRow } from "./print_table.ts";
import { readResidentMb } from "./process_meter.ts";

const STAND_IN = fileURLToPath(
  new URL("./stand_in_process.js", import.meta.url),
);

const HEADERS = { authorization: `Bearer ${ACCOUNT_KEY}` };

/** Starts each stand-in in a separate process. */
export async function startStandIns(
  kinds: readonly ("plain" | "engine")[],
): Promise<AsyncDisposable & { readonly addresses: readonly string[] }> {
  const ports = await findFreePorts(kinds.length);
  const children: ChildProcess[] = kinds.map((kind, at) =>
    spawn(process.execPath, [STAND_IN, kind, String(ports[at])])
  );
  await sleep(700);
  return {
    addresses: ports.map((port) => `http://127.0.0.1:${port}`),
    async [Symbol.asyncDispose]() {
      await Promise.resolve();
      for (const child of children) child.kill("SIGKILL");
    },
  };
}

/** Prints load through an entry and directly, then claims, then memory use. */
export async function measurePath(): Promise<void> {
  await using standIns = await startStandIns([
    "plain",
    "engine",
    "engine",
    "engine",
  ]);
  const [plain, ...engines] = standIns.addresses;
  await using platform = await startPlatform();
  await using fleet = await launchFleet({
    entries: 1,
    platformListUrl: platform.address,
  });
  const resources = getTrialResources({
    stages: engines.map((address) => [address]),
    plain: [plain],
  });
  const { entries } = await applyTrial(fleet, resources, {
    service: "drafting",
  });
  const entry = entries[0].address;
  const direct = () => ({ url: `${plain}/readings` });
  const throughEntry = () => ({
    url: `${entry}/services/dashboard/readings`,
    headers: HEADERS,
  });
  const rows: TableRow[] = [];
  const run = async (
    name: string,
    options: {
      concurrency: number;
      requests: number;
      ratePerS?: number;
      makeRequest: (count: number) => LoadRequest;
    },
  ): Promise<LoadResult> => {
    const result = await runLoad(options);
    rows.push(describeLoad(name, result));
    return result;
  };
  const many = { concurrency: 64, requests: 20_000 };
  await runLoad({ ...many, requests: 5_000, makeRequest: throughEntry });
  await run("direct, as many as go", { ...many, makeRequest: direct });
  const saturated = await run("through, as many as go", {
    ...many,
    makeRequest: throughEntry,
  });
  const half = {
    concurrency: 64,
    requests: 10_000,
    ratePerS: saturated.throughputPerS / 2,
  };
  await run("direct, half of that", { ...half, makeRequest: direct });
  await run("through, half of that", { ...half, makeRequest: throughEntry });
  const completion = (stream: boolean) => (count: number) => ({
    url: `${entry}/v1/completions`,
    method: "POST" as const,
    headers: HEADERS,
    body: JSON.stringify({
      model: "drafting",
      prompt: `Pallet ${count}`,
      max_tokens: 32,
      stream,
    }),
  });
  const model = { concurrency: 16, requests: 600 };
  const whole = await run("32 tokens over 3 stages, whole", {
    ...model,
    makeRequest: completion(false),
  });
  await run("32 tokens over 3 stages, streamed", {
    ...model,
    makeRequest: completion(true),
  });
  printTable(rows);
  const tokensPerS = Math.round(whole.throughputPerS * 32);
  process.stdout.write(`Tokens a second through one entry: ${tokensPerS}\n`);
  await measureClaims(entry);
  await measureMemory(fleet.entries[0].getProcessId(), throughEntry);
}

async function measureClaims(entry: string): Promise<void> {
  const run = async (concurrency: number, requests: number) => {
    const result = await runLoad({
      concurrency,
      requests,
      makeRequest: (count) => ({
        url: `${entry}/services/dashboard/claims`,
        method: "POST",
        headers: {
          ...HEADERS,
          "crowlever-repeatable": "false",
          "idempotency-key": `claim-${concurrency}-${count}`,
        },
        body: "{}",
      }),
    });
    return describeLoad(`claimed, ${concurrency} at once, synced`, result);
  };
  printTable([await run(32, 3_000), await run(1, 300)]);
}

async function measureMemory(
  processId: number,
  makeRequest: () => LoadRequest,
): Promise<void> {
  const rows: TableRow[] = [];
  for (let round = 0; round <= 5; round++) {
    const mb = await readResidentMb(processId);
    rows.push({ requests: round * 20_000, "resident MB": mb.toFixed(0) });
    await runLoad({ concurrency: 32, requests: 20_000, makeRequest });
  }
  printTable(rows);
}

function describeLoad(name: string, result: LoadResult): TableRow {
  return {
    load: name,
    "a second": Math.round(result.throughputPerS),
    "p50 ms": result.p50Ms.toFixed(2),
    "p99 ms": result.p99Ms.toFixed(2),
    "first byte p50 ms": result.firstByteP50Ms.toFixed(2),
    wrong: result.failures,
  };
}
