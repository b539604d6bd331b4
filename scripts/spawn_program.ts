/**
 * Starts a program of the platform with the command line of deploy/system.toml.
 *
 * @module
 */

import { type ChildProcess, spawn } from "node:child_process";
import { readFileSync } from "node:fs";
import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import process from "node:process";

/** Options of {@link spawnProgram}. */
export interface SpawnProgramOptions {
  /** Script that Node.js runs. */
  readonly file: string;
  /** Contents of the settings file, which the platform generates otherwise. */
  readonly settings: {
    readonly nodeId: string;
    readonly [name: string]: unknown;
  };
  /** Folder in which the settings file is written. */
  readonly folder: string;
  /** Node.js flags in addition to those of the role; none by default. */
  readonly flags?: readonly string[];
  /** Arguments after the role; none by default. */
  readonly args?: readonly string[];
  /** Environment variables in addition to our own; none by default. */
  readonly variables?: Readonly<Record<string, string>>;
  /** Whether the log can be read from the process; it is discarded by default. */
  readonly isLogPiped?: boolean;
  /** The same for its standard error; it is that of this process by default. */
  readonly isErrorPiped?: boolean;
  /** Descriptor that is the standard output and error, in place of both. */
  readonly logDescriptor?: number;
}

/** Line of deploy/system.toml that starts a role; captures its flags and name. */
const ROLE_LINE = /^run = "node (.*) target\/\S+ (\w+)/gm;

/**
 * Starts a program with the Node.js flags of its role in deploy/system.toml: V8
 * rejects a code cache made with other flags, and measurements depend on them.
 *
 * @param role - The role in deploy/system.toml.
 * @param options - The script, its settings and the folder of the settings file.
 * @returns The process.
 * @throws {Error} When deploy/system.toml has no such role.
 * @example
 * const child = await spawnProgram("entry", { file, settings, folder });
 */
export async function spawnProgram(
  role: string,
  options: SpawnProgramOptions,
): Promise<ChildProcess> {
  const { file, settings, folder, flags = [], args = [] } = options;
  const { isLogPiped = false, isErrorPiped = false, logDescriptor } = options;
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
      stdio: [
        "ignore",
        logDescriptor ?? (isLogPiped ? "pipe" : "ignore"),
        logDescriptor ?? (isErrorPiped ? "pipe" : "inherit"),
      ],
    },
  );
}

function readRoleFlags(role: string): string[] {
  const text = readFileSync("deploy/system.toml", "utf8");
  const line = [...text.matchAll(ROLE_LINE)].find(([, , name]) =>
    name === role
  );
  if (!line) throw new Error(`deploy/system.toml has no role ${role}`);
  return line[1].split(" ");
}
