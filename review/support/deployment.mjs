/**
 * A small deployment on loopback addresses: the programs of the deploy file as separate
 * processes, their settings, and a record of what is sent, answered and done.
 *
 * @module
 */

import { spawn } from "node:child_process";
import { once } from "node:events";
import {
  appendFileSync,
  createWriteStream,
  existsSync,
  readFileSync,
  writeFileSync,
} from "node:fs";
import { mkdir, rm, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { dirname, join } from "node:path";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");

/** Reads the command of a role from the deploy file, with its gap filled. */
function readCommand(role, front) {
  const text = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const [, section] = text.split(`[roles.${role}]\n`);
  const [, command] = /^run = "(.*)"$/m.exec(section);
  return command.replace("{{listen.front}}", front).split(" ");
}

/** Bounds of a small deployment; those of the site hgi-coldwatch. */
export const BOUNDS = {
  seedLagS: 3,
  addrReuseS: 2,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  outerMs: 5000,
  revokeStrict: true,
  revokeMs: 5000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  budgetExtra: 206,
  recoverS: 12,
  passMs: 120,
  retryAfterS: 0,
  stall_ms: 2000,
  fencingRequired: false,
  ttl_max_s: 5,
};

/** Exit codes of a case; `run_case.sh` turns that of a broken rule into 1. */
export const EXIT = { held: 0, broken: 10, notRun: 2 };

/** Time after which a case is given up. */
const LIMIT_MS = 110_000;

async function isFree(host, port) {
  const server = createServer();
  server.listen({ host, port });
  try {
    await once(server, "listening");
  } catch {
    return false;
  }
  server.close();
  await once(server, "close");
  return true;
}

/** Finds a network of loopback addresses, and ports that are free there. */
async function findNetwork() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const [a, b] = [1, 1].map(() => 1 + Math.floor(Math.random() * 250));
    const network = `127.${a}.${b}`;
    const firstPort = 7_000 + 20 * Math.floor(Math.random() * 50);
    const ports = {
      front: firstPort,
      ready: firstPort + 1,
      control: firstPort + 2,
      directory: firstPort + 3,
      internal: firstPort + 4,
      engine: firstPort + 8,
    };
    const checks = [...Object.values(ports), 9_464, 9_465]
      .map((port) => isFree(`${network}.1`, port));
    if ((await Promise.all(checks)).every(Boolean)) return { network, ports };
  }
  throw new Error("no free network");
}

/**
 * Opens a deployment without machines.
 *
 * @param caseFolder - The folder of the case, for `record.txt`.
 */
export async function openDeployment(caseFolder) {
  const folder = process.env.REVIEW_FOLDER;
  if (!folder) throw new Error("to be started by run.sh");
  if (!existsSync(join(ROOT, "target", "crowlever.cjs"))) {
    throw new Error("the deploy file isn't built");
  }
  const { network, ports } = await findNetwork();
  const recordFile = join(caseFolder, "record.txt");
  writeFileSync(recordFile, "");
  const output = createWriteStream(recordFile, { flags: "a" });
  const startedMs = performance.now();
  const children = new Set();
  const closers = [];
  const ended = new Set();
  const failures = [];
  let machineCount = 0;
  let isClosed = false;

  function record(text) {
    const atS = ((performance.now() - startedMs) / 1_000).toFixed(3);
    output.write(`${atS.padStart(8)} ${text}\n`);
  }

  /** Adds a machine; none of its programs runs yet. */
  function addMachine(name, { zone, seeds, toleratedMachines = 1 }) {
    machineCount += 1;
    const ip = `${network}.${machineCount}`;
    return {
      name,
      ip,
      zone,
      seeds,
      toleratedMachines,
      control: `${ip}:${ports.control}`,
      front: `${ip}:${ports.front}`,
      programs: new Map(),
    };
  }

  function makeSettings(machine, role, isFirstStart) {
    const serves = role === "control" ? ["control"] : ["front", "directory"];
    const listen = role === "control" ? { control: machine.control } : {
      front: machine.front,
      ready: `${machine.ip}:${ports.ready}`,
      directory: `${machine.ip}:${ports.directory}`,
    };
    return {
      nodeId: machine.name,
      role,
      machineClass: "front",
      serves,
      ip: machine.ip,
      zone: machine.zone,
      region: "region-1",
      internalPorts: [ports.internal, ports.internal + 3],
      seeds: machine.seeds,
      bootstrap: isFirstStart,
      faultCounted: role === "control",
      dataDir: role === "control" ? getDataFolder(machine) : "",
      discovery: "registration",
      entryMode: "directory",
      heartbeatMs: 1_200,
      configMode: "highest",
      listen,
      faultTolerance: {
        machines: machine.toleratedMachines,
        zones: 0,
        regions: 0,
      },
      bounds: BOUNDS,
    };
  }

  function getDataFolder(machine) {
    return join(folder, machine.name, "data");
  }

  /** Starts a role on a machine, as `deploy/system.toml` does. */
  async function start(machine, role, { isFirstStart = false } = {}) {
    await mkdir(getDataFolder(machine), { recursive: true });
    if (isClosed) throw new Error("the case has ended");
    const file = join(folder, machine.name, `${role}.json`);
    await writeFile(
      file,
      JSON.stringify(makeSettings(machine, role, isFirstStart)),
    );
    if (isClosed) throw new Error("the case has ended");
    const [program, ...parameters] = readCommand(role, machine.front);
    const child = spawn(program, parameters, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: folder,
        LANG: "C",
        CROWLEVER_SETTINGS: file,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const log = createWriteStream(join(folder, `${machine.name}-${role}.log`), {
      flags: "a",
    });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    child.once("error", ({ message }) => failures.push(message));
    if (child.pid === undefined) return;
    appendFileSync(join(folder, "pids"), `${child.pid}\n`);
    children.add(child);
    machine.programs.set(role, child);
    record(`${machine.name}: ${role} started (bootstrap ${isFirstStart})`);
    child.once("exit", (code, signal) => {
      children.delete(child);
      log.end();
      const how = signal ?? `code ${code}`;
      record(`${machine.name}: ${role} ended (${how})`);
      if (!ended.has(child) && !isClosed) {
        failures.push(`${machine.name}: ${role} ended by itself (${how})`);
      }
    });
  }

  /** Sends a signal to a program of this deployment. */
  function signal(machine, role, name) {
    record(`${machine.name}: ${name} to ${role}`);
    const child = machine.programs.get(role);
    ended.add(child);
    child?.kill(name);
  }

  async function waitForEnd(machine, role) {
    const child = machine.programs.get(role);
    if (!child || child.exitCode !== null || child.signalCode !== null) return;
    await once(child, "exit");
  }

  async function eraseDisk(machine) {
    await rm(getDataFolder(machine), { recursive: true, force: true });
    record(`${machine.name}: disk lost`);
  }

  /** Ends all programs and stand-ins of the case. */
  async function close() {
    if (isClosed) return;
    isClosed = true;
    for (const end of closers) end();
    const running = [...children];
    for (const child of running) child.kill("SIGKILL");
    await Promise.all(
      running.map(async (child) => {
        if (child.exitCode === null && child.signalCode === null) {
          await once(child, "exit");
        }
      }),
    );
    await new Promise((resolve) => output.end(resolve));
  }

  return {
    network,
    ports,
    /** Calls a function once the case has ended. */
    onClose: (end) => void closers.push(end),
    record,
    addMachine,
    start,
    signal,
    waitForEnd,
    eraseDisk,
    /** What has failed that the case did not cause. */
    failures,
    close,
  };
}

/**
 * Runs a case, ends all its processes, and exits with the case's code.
 *
 * @param url - `import.meta.url` of the case.
 * @param play - Plays the case and resolves with an exit code.
 */
export async function runCase(url, play) {
  const hasTrouble = process.env.TROUBLE !== "0";
  const deployment = await openDeployment(dirname(fileURLToPath(url)))
    .catch((error) => {
      process.stderr.write(`${error.stack}\n`);
      process.exit(EXIT.notRun);
    });
  const { record, failures, close } = deployment;

  async function end(code) {
    const meaning = Object.keys(EXIT).find((name) => EXIT[name] === code);
    record(`trouble ${hasTrouble ? "on" : "off"}: ${meaning}`);
    await close();
    process.stdout.write(`${meaning}\n`);
    process.exit(code);
  }

  function giveUp(reason) {
    record(`the case could not run: ${reason}`);
    void end(EXIT.notRun);
  }

  for (const name of ["SIGHUP", "SIGINT", "SIGTERM"]) {
    process.once(name, () => giveUp(name));
  }
  process.on("uncaughtException", (error) => giveUp(error.stack));
  process.on("unhandledRejection", (error) => giveUp(error));
  const limit = setTimeout(() => giveUp("it took too long"), LIMIT_MS);
  const code = await play(deployment, { hasTrouble });
  clearTimeout(limit);
  if (failures.length > 0) return giveUp(failures.join("; "));
  await end(code);
}

export { sleep };
