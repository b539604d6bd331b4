/**
 * Opens a pipe that is full and never read.
 *
 * @module
 */

import { execFileSync } from "node:child_process";
import { closeSync, constants, openSync, writeSync } from "node:fs";
import { join } from "node:path";

/** A pipe that nobody reads. */
export interface FullPipe extends Disposable {
  /** Its end for the writer, which blocks. */
  readonly descriptor: number;
}

const CHUNK = Buffer.alloc(4_096, "\n");

/** Opens a pipe in the folder and fills it. */
export function openFullPipe(folder: string): FullPipe {
  const path = join(folder, "full");
  execFileSync("mkfifo", [path]);
  const { O_RDWR, O_NONBLOCK, O_WRONLY } = constants;
  const both = openSync(path, O_RDWR | O_NONBLOCK);
  const descriptor = openSync(path, O_WRONLY);
  try {
    while (true) writeSync(both, CHUNK);
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== "EAGAIN") throw error;
  }
  return {
    descriptor,
    [Symbol.dispose]() {
      closeSync(descriptor);
      closeSync(both);
    },
  };
}
