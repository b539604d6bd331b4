/**
 * Launches a fleet of real processes on loopback addresses, for the demo, the tests
 * and the measurements. The product itself starts no processes.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";
import {
  createOperatorClient,
  type OperatorClient,
} from "../src/cli/create_operator_client.ts";
import { hashSecret } from "../src/http/index.ts";
import { findFreePorts } from "./find_free_ports.ts";
import { until } from "./until.ts";

/** Token of the bootstrap operator. */
export const OPERATOR_TOKEN = "operator-of-the-trial";

/** A process of the fleet. */
export interface FleetProcess {
  readonly name: string;
  /** `host:port` for operators or callers. */
  readonly address: string;
  getProcessId(): number;
  kill(signal: NodeJS.Signals): void;
  /** Resolves with the exit code once the process has exited. */
  readonly ended: () => Promise<number>;
  start(extra?: readonly string[]): void;
  getLog(): string;
  readonly dataFolder: string;
}

/** A running fleet. */
export interface Fleet extends AsyncDisposable {
  readonly controls: readonly FleetProcess[];
  readonly entries: readonly FleetProcess[];
  readonly operator: OperatorClient;
  readonly folder: string;
  /** Addresses at which entries reach the control processes. */
  readonly peerAddresses: readonly string[];
  /** Starts one more entry, which disposing of the fleet does not stop. */
  launchEntry(
    vm: string,
    settings: Readonly<Record<string, unknown>>,
  ): Promise<FleetProcess>;
  /** Waits until a condition holds; see {@link until}. */
  until(what: string, test: () => Promise<boolean> | boolean): Promise<void>;
}

/** Options of {@link launchFleet}. */
export interface LaunchFleetOptions {
  readonly controls?: number;
  readonly entries?: number;
  readonly platformListUrl?: string;
  readonly places?: readonly string[];
  /** Whether the entries store their last configuration on disk. */
  readonly entryDisks?: boolean;
  /** Additional settings of every entry or control process. */
  readonly entrySettings?: Readonly<Record<string, unknown>>;
  readonly controlSettings?: Readonly<Record<string, unknown>>;
}

const BIN_FOLDER = fileURLToPath(new URL("../src/bin/", import.meta.url));

/** Launches a fleet and waits until all voters and entries have joined. */
export async function launchFleet(
  options: LaunchFleetOptions = {},
): Promise<Fleet> {
  const { controls = 3, entries = 3, places = ["place-1"] } = options;
  const folder = await mkdtemp(join(tmpdir(), "crowlever-"));
  const ports = await findFreePorts(controls * 2 + entries);
  const controlVms = Array.from({ length: controls }, (_value, at) => ({
    vm: `control-${at + 1}`,
    peerAddress: `127.0.0.1:${ports[at * 2]}`,
    operatorAddress: `127.0.0.1:${ports[at * 2 + 1]}`,
  }));
  const getCommonSettings = (vm: string, at: number) => ({
    fleetId: "trial",
    vm,
    place: places[at % places.length],
    logs: { level: "info", format: "text" },
  });
  const controlProcesses = await Promise.all(
    controlVms.map(async ({ vm }, at) => {
      const dataFolder = join(folder, vm);
      const settings = {
        ...getCommonSettings(vm, at),
        dataFolder,
        peerListen: { host: "127.0.0.1", port: ports[at * 2] },
        listen: { host: "127.0.0.1", port: ports[at * 2 + 1] },
        controlVms,
        platformListUrl: options.platformListUrl,
        bootstrapOperatorTokenSha256: hashSecret(OPERATOR_TOKEN),
        ...options.controlSettings,
      };
      return await createProcess({
        program: "crowlever_control.js",
        settings,
        folder,
        address: controlVms[at].operatorAddress,
      });
    }),
  );
  const entryProcesses = await Promise.all(
    Array.from({ length: entries }, async (_value, at) => {
      const vm = `entry-${at + 1}`;
      const port = ports[controls * 2 + at];
      const settings = {
        ...getCommonSettings(vm, at),
        listen: { host: "127.0.0.1", port },
        controlAddresses: controlVms.map((control) => control.peerAddress),
        dataFolder: options.entryDisks ? join(folder, vm) : undefined,
        entriesTtlMs: 500,
        ...options.entrySettings,
      };
      return await createProcess({
        program: "crowlever_entry.js",
        settings,
        folder,
        address: `127.0.0.1:${port}`,
      });
    }),
  );
  const all = [...controlProcesses, ...entryProcesses];
  const operator = createOperatorClient({
    addresses: controlVms.map((control) => control.operatorAddress),
    token: OPERATOR_TOKEN,
  });
  const fleet: Fleet = {
    controls: controlProcesses,
    entries: entryProcesses,
    operator,
    folder,
    peerAddresses: controlVms.map((control) => control.peerAddress),
    until,
    async launchEntry(vm, extra) {
      const [port] = await findFreePorts(1);
      const settings = {
        ...getCommonSettings(vm, 0),
        listen: { host: "127.0.0.1", port },
        controlAddresses: controlVms.map((control) => control.peerAddress),
        ...extra,
      };
      const address = `127.0.0.1:${port}`;
      const program = "crowlever_entry.js";
      const entry = await createProcess({ program, settings, folder, address });
      entry.start();
      return entry;
    },
    async [Symbol.asyncDispose]() {
      for (const child of all) child.kill("SIGCONT");
      for (const child of all) child.kill("SIGKILL");
      await Promise.all(all.map((child) => child.ended()));
      await rm(folder, { recursive: true, force: true });
    },
  };
  controlProcesses.forEach((child, at) =>
    child.start(at === 0 ? ["--form"] : [])
  );
  entryProcesses.forEach((child) => child.start());
  try {
    await until(
      "all voters and entries have joined",
      () => hasAllJoined(fleet),
    );
  } catch (error) {
    for (const child of all) process.stderr.write(child.getLog());
    await fleet[Symbol.asyncDispose]();
    throw error;
  }
  return fleet;
}

interface Status {
  readonly members: readonly { role: string }[];
  readonly entries: readonly unknown[];
}

async function hasAllJoined(fleet: Fleet): Promise<boolean> {
  const status = await fleet.operator.call<Status>({ path: "/v1/status" });
  const voters = status.members.filter((member) => member.role === "voter");
  return voters.length === fleet.controls.length &&
    status.members.length === voters.length &&
    status.entries.length === fleet.entries.length;
}

async function createProcess(
  options: {
    program: string;
    settings: { vm: string; dataFolder?: string };
    folder: string;
    address: string;
  },
): Promise<FleetProcess> {
  const { program, settings, folder, address } = options;
  const file = join(folder, `${settings.vm}.jsonc`);
  await writeFile(file, JSON.stringify(settings, null, 2));
  let child: ChildProcess | undefined;
  let log = "";
  let ended = Promise.resolve(0);
  return {
    name: settings.vm,
    address,
    dataFolder: settings.dataFolder ?? "",
    getProcessId: () => child?.pid ?? 0,
    getLog: () => log,
    kill: (signal) => void child?.kill(signal),
    ended: () => ended,
    start(extra = []) {
      const started = spawn(
        process.execPath,
        [join(BIN_FOLDER, program), "--settings", file, ...extra],
        { stdio: ["ignore", "ignore", "pipe"] },
      );
      child = started;
      started.stderr?.on("data", (chunk) => log += String(chunk));
      ended = new Promise((resolve) => {
        started.once("close", (code) => resolve(code ?? -1));
      });
    },
  };
}
