/**
 * Polls conditions that other processes bring about.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

/** Time limit, in ms, for a condition to hold. */
const UNTIL_TIMEOUT_MS = 30_000;

/**
 * Waits until a condition holds; a condition that throws does not hold yet.
 *
 * @param what - Description of the condition, for the error.
 * @param test - Whether it holds.
 * @returns A promise that resolves once it holds.
 * @throws {Error} When it does not hold in time.
 * @example
 * await until("it leads", () => control.getState().role === "leader");
 */
export async function until(
  what: string,
  test: () => Promise<boolean> | boolean,
): Promise<void> {
  const endMs = Date.now() + UNTIL_TIMEOUT_MS;
  while (Date.now() < endMs) {
    if (await Promise.resolve(test()).catch(() => false)) return;
    await sleep(20);
  }
  throw new Error(`Timed out waiting until ${what}`);
}
