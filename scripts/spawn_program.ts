/**
 * Starts a program of the platform as deploy/system.toml does.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";

/** How a program is started. */
export interface SpawnProgramOptions {
  /** File that the runtime loads. */
  readonly file: string;
  /** What the platform would write into its settings file. */
  readonly settings: {
    readonly nodeId: string;
    readonly [name: string]: unknown;
  };
  /** Folder for that file. */
  readonly folder: string;
  /** Flags of the runtime besides the role's own; none by default. */
  readonly flags?: readonly string[];
  /** Arguments behind the role; none by default. */
  readonly args?: readonly string[];
  /** Variables of its environment besides our own; none by default. */
  readonly variables?: Readonly<Record<string, string>>;
}

/** Line of the deploy file that starts a role: flags, then the role's name. */
const RUN_LINE = /^run = "node (.*) target\/\S+ (\w+)/gm;

/**
 * Starts a program with the runtime's flags of its role: a code cache fits only a
 * runtime with the flags under which it was made, and figures only hold for them.
 *
 * @param role - Its role in deploy/system.toml.
 * @param options - What is loaded, its settings and where they are written.
 * @returns The process.
 * @throws {Error} When the deploy file has no such role.
 * @example
 * const child = await spawnProgram("entry", { file, settings, folder });
 */
export async function spawnProgram(
  role: string,
  options: SpawnProgramOptions,
): Promise<ChildProcess> {
  const { file, settings, folder, flags = [], args = [] } = options;
  const settingsFile = join(folder, `${settings.nodeId}.jsonc`);
  await writeFile(settingsFile, JSON.stringify(settings));
  return spawn(
    process.execPath,
    [...readRoleFlags(role), ...flags, file, role, ...args],
    {
      env: {
        ...process.env,
        ...options.variables,
        CROWLEVER_SETTINGS: settingsFile,
      },
      stdio: ["ignore", "ignore", "inherit"],
    },
  );
}

function readRoleFlags(role: string): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const line = [...text.matchAll(RUN_LINE)].find(([, , name]) => name === role);
  if (!line) throw new Error(`deploy/system.toml has no role ${role}`);
  return line[1].split(" ");
}
