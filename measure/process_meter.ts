/**
 * Meters of processes and of the loopback interface.
 *
 * @module
 */

import { readFile } from "node:fs/promises";

/** Clock ticks of the kernel's accounts in a second. */
const TICKS_PER_S = 100;

/** Processor time of a process so far, in ms. */
export async function readProcessorMs(processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/stat`, "utf8");
  const fields = text.slice(text.lastIndexOf(")") + 2).split(" ");
  return ((Number(fields[11]) + Number(fields[12])) * 1_000) / TICKS_PER_S;
}

/** Resident memory of a process, in MB. */
export async function readResidentMb(processId: number): Promise<number> {
  const text = await readFile(`/proc/${processId}/status`, "utf8");
  return Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1_024;
}

/** Bytes that went over the loopback interface so far, headers among them. */
export async function readLoopbackBytes(): Promise<number> {
  const text = await readFile("/proc/net/dev", "utf8");
  const line = text.split("\n").find((one) => one.trim().startsWith("lo:"));
  return Number(line?.trim().split(/\s+/)[1] ?? 0);
}
