/**
 * Starts programs of the platform, alone on a loopback address each.
 *
 * @module
 */

import { type ChildProcess, execFileSync } from "node:child_process";
import { once } from "node:events";
import { existsSync, readFileSync } from "node:fs";
import { mkdir, mkdtemp, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { Readable } from "node:stream";
import { createInterface } from "node:readline";
import {
  spawnProgram,
  type SpawnProgramOptions,
} from "../../scripts/spawn_program.ts";

/** Role of a program. */
export type Role = "entry" | "control";

/** A started program. */
export interface TrialProgram {
  readonly child: ChildProcess;
  /** The stream to which it logs, if the log is piped. */
  readonly log: Readable | null;
  /** Numbers of the events that were logged, if the log is piped. */
  readonly ids: readonly string[];
  /** Whether it runs: its start has been recorded. */
  isRunning(): boolean;
  /** How it ended, as the next start reads it. */
  readEnd(): unknown;
}

/** Programs that end with the trial. */
export interface ProgramTrial extends AsyncDisposable {
  readonly folder: string;
  /** Starts a program; settings are added to those of the trial. */
  start(
    role: Role,
    options?: Pick<
      SpawnProgramOptions,
      "isLogPiped" | "logDescriptor" | "flags"
    >,
    settings?: Readonly<Record<string, unknown>>,
  ): Promise<TrialProgram>;
}

/** Options of {@link openProgramTrial}. */
export interface OpenProgramTrialOptions {
  /** Loopback address of the programs. */
  readonly ip: string;
}

/** Builds the program, and starts it as often as asked. */
export async function openProgramTrial(
  options: OpenProgramTrialOptions,
): Promise<ProgramTrial> {
  const { ip } = options;
  const folder = await mkdtemp(join(tmpdir(), "programs-"));
  const file = join(folder, "program.cjs");
  execFileSync(process.execPath, [
    "scripts/build_target.mjs",
    "--readable",
    file,
  ]);
  const children: ChildProcess[] = [];
  return {
    folder,
    async start(role, streams = {}, settings = {}) {
      const dataDir = join(folder, role);
      await mkdir(dataDir, { recursive: true });
      const listen = role === "entry"
        ? { front: `${ip}:7901`, ready: `${ip}:7902` }
        : { control: `${ip}:7903` };
      const child = await spawnProgram(role, {
        file,
        folder,
        ...streams,
        settings: {
          nodeId: role,
          zone: "place-1",
          ip,
          listen,
          internalPorts: [7904],
          seeds: [`${ip}:7903`],
          bootstrap: true,
          dataDir,
          faultTolerance: { machines: 0 },
          bounds: { graceS: 0 },
          ...settings,
        },
      });
      children.push(child);
      const ids: string[] = [];
      if (child.stdout) {
        createInterface({ input: child.stdout }).on("line", (line) => {
          if (line.startsWith("{")) ids.push(JSON.parse(line).id);
        });
      }
      const path = join(dataDir, `starts-${role}.json`);
      return {
        child,
        log: child.stdout,
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
