/**
 * Sends calls one after the other, without waiting for their answers.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

/** Ms between two calls. */
const INTERVAL_MS = 25;

/**
 * Starts a call every 25 ms until stopped.
 *
 * @param callOnce - Sends the call of the given number and takes its answer.
 * @returns A function that stops, waits for all answers and gives the number of calls.
 * @throws Nothing.
 * @example
 * const calls = repeatCalls((at) => callOnce(at));
 */
export function repeatCalls(
  callOnce: (at: number) => Promise<void>,
): { stop(): Promise<number> } {
  let isOver = false;
  async function callUntilOver(): Promise<number> {
    const running: Promise<void>[] = [];
    while (!isOver) {
      running.push(callOnce(running.length));
      await sleep(INTERVAL_MS);
    }
    await Promise.all(running);
    return running.length;
  }
  const calling = callUntilOver();
  return {
    stop() {
      isOver = true;
      return calling;
    },
  };
}
