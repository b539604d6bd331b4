/**
 * A time-out for promises.
 *
 * @module
 */

import { setImmediate as nextTurn } from "node:timers/promises";

/** A promise was not settled within its time limit. */
export class TimeLimitError extends Error {
  override readonly name = "TimeLimitError";
}

/**
 * Turns of the event loop to wait after the timer fires. The loop runs timers before
 * it reads sockets: if this process was blocked, an answer may have arrived that it
 * has not read yet. A turn without work takes microseconds. Without these turns,
 * limits of 25 ms made busy gateways consider 179 running engines failed in the
 * seconds after a power loss of all machines, and send their streams again (log
 * lines of 36 processes).
 */
const GRACE_TURNS = 4;

async function waitTurns(turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn++) await nextTurn();
}

/**
 * Rejects if a promise is not settled in time; data that arrived in time but was
 * not read yet still counts. Abort signals of the HTTP library are no substitute:
 * they do not end a call whose connection is still being established.
 *
 * @param promise - The promise; it is not cancelled when the time is over.
 * @param options - The time limit, in ms.
 * @returns The value of the promise.
 * @throws {TimeLimitError} If the promise is not settled in time.
 * @example
 * const report = await withTimeout(readReport(), { timeoutMs: 250 });
 */
export async function withTimeout<Value>(
  promise: Promise<Value>,
  options: { timeoutMs: number },
): Promise<Value> {
  const { timeoutMs } = options;
  let timer: ReturnType<typeof setTimeout> | undefined;
  const limit = new Promise<never>((_resolve, reject) => {
    timer = setTimeout(async () => {
      await waitTurns(GRACE_TURNS);
      reject(new TimeLimitError(`No answer within ${timeoutMs} ms`));
    }, timeoutMs);
  });
  // A rejection after the time limit must not be reported as unhandled.
  promise.catch(() => {});
  try {
    return await Promise.race([promise, limit]);
  } finally {
    clearTimeout(timer);
  }
}
