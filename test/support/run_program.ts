/**
 * Runs the programs of `src/bin/` as child processes.
 *
 * @module
 */

import { execFile } from "node:child_process";
import { join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const BIN = fileURLToPath(new URL("../../src/bin/", import.meta.url));

/** Result of a program that has exited. */
export interface EndedProgram {
  readonly code: number;
  readonly output: string;
}

/** Runs a program until it exits. */
export function runProgram(
  program: string,
  args: readonly string[],
): Promise<EndedProgram> {
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [join(BIN, `${program}.js`), ...args],
      (error, stdout, stderr) => {
        const code = error ? Number(error.code ?? -1) : 0;
        resolve({ code, output: stdout + stderr });
      },
    );
  });
}
