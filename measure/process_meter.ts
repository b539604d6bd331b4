/**
 * Reads resource usage of processes and of the loopback interface from `/proc`.
 *
 * @module
 */

import { readFile } from "node:fs/promises";

/** Unit in which `/proc/PID/stat` gives processor times (USER_HZ). */
const CLOCK_TICKS_PER_S = 100;

/** Reads the total user and system processor time of a process, in ms. */
export async function readCpuTimeMs(processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return ((Number(fields[11]) + Number(fields[12])) * 1_000) /
    CLOCK_TICKS_PER_S;
}

/** Reads the resident memory of a process, in MB. */
export async function readResidentMb(processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
}

/** Reads the bytes received on the loopback interface, headers included. */
export async function readLoopbackBytes(): Promise<number> {
  const text = await readFile("/proc/net/dev", "utf8");
  const line = text.split("\n").find((one) => one.trim().startsWith("lo:"));
  return Number(line?.trim().split(/\s+/)[1] ?? 0);
}
