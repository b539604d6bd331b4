/**
 * Starts the product's own servers, alone on a loopback address each.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync } from "node:fs";
import { mkdir, mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";
import type {
  OpenProgramTrialOptions,
  ProgramTrial,
  Role,
} from "./open_program_trial.ts";

const BIN_FOLDER = fileURLToPath(new URL("../../src/bin/", import.meta.url));

function getSettings(role: Role, context: { ip: string; dataFolder: string }) {
  const { ip, dataFolder } = context;
  const peerAddress = `${ip}:7911`;
  const operatorAddress = `${ip}:7912`;
  const common = {
    fleetId: "trial",
    vm: role,
    place: "place-1",
    logs: { level: "info", format: "json" },
    dataFolder,
  };
  if (role === "entry") {
    return {
      ...common,
      listen: { host: ip, port: 7913 },
      controlAddresses: [peerAddress],
    };
  }
  return {
    ...common,
    peerListen: { host: ip, port: 7911 },
    listen: { host: ip, port: 7912 },
    controlVms: [{ vm: role, peerAddress, operatorAddress }],
  };
}

/** Starts the servers as often as asked; control forms a cluster by itself. */
export async function openServerTrial(
  options: OpenProgramTrialOptions,
): Promise<ProgramTrial> {
  const { ip } = options;
  const folder = await mkdtemp(join(tmpdir(), "servers-"));
  const children: ChildProcess[] = [];
  return {
    folder,
    async start(role, streams = {}, extra = {}) {
      const { isLogPiped = false, logDescriptor, flags = [] } = streams;
      const dataFolder = join(folder, role);
      await mkdir(dataFolder, { recursive: true });
      const file = join(folder, `${role}.jsonc`);
      const settings = { ...getSettings(role, { ip, dataFolder }), ...extra };
      await writeFile(file, JSON.stringify(settings));
      const child = spawn(
        process.execPath,
        [
          ...flags,
          join(BIN_FOLDER, `crowlever_${role}.js`),
          "--settings",
          file,
          ...(role === "control" ? ["--form"] : []),
        ],
        {
          stdio: [
            "ignore",
            "ignore",
            logDescriptor ?? (isLogPiped ? "pipe" : "ignore"),
          ],
        },
      );
      children.push(child);
      const ids: string[] = [];
      if (child.stderr) {
        createInterface({ input: child.stderr }).on("line", (line) => {
          if (line.startsWith("{")) ids.push(JSON.parse(line).id);
        });
      }
      const path = join(dataFolder, `starts-crowlever-${role}.json`);
      return {
        child,
        log: child.stderr,
        ids,
        isRunning: () => existsSync(path),
        readEnd: () => JSON.parse(readFileSync(path, "utf8")).end,
      };
    },
    async [Symbol.asyncDispose]() {
      for (const child of children) {
        if (child.exitCode !== null || child.signalCode !== null) continue;
        child.kill("SIGKILL");
        await once(child, "exit");
      }
      await rm(folder, { recursive: true, force: true });
    },
  };
}
