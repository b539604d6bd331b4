/**
 * A time limit on whatever is awaited.
 *
 * @module
 */

import { setImmediate as nextTurn } from "node:timers/promises";

/** An answer that did not come in time. */
export class TimeLimitError extends Error {
  override readonly name = "TimeLimitError";
}

/**
 * Turns of the event loop that are waited for once the time is over. The loop runs
 * timers before it reads: where this process itself was late, an answer lies there
 * unread while its time limit fires. A turn without work takes microseconds. In the
 * seconds after all machines had lost power, busy gateways took 179 engines that ran
 * for lost by such limits of 25 ms, and sent their streams once more (log lines of
 * 36 processes).
 */
const GRACE_TURNS = 4;

async function waitTurns(turns: number): Promise<void> {
  for (let turn = 0; turn < turns; turn++) await nextTurn();
}

/**
 * Rejects where a promise is not settled in time; what came in time but was not
 * read yet counts. The HTTP library's own signals do not end a call whose
 * connection is still being made.
 *
 * @param promise - What is awaited; it goes on unheeded.
 * @param options - The limit, in ms.
 * @returns What the promise gives.
 * @throws {TimeLimitError} When the time is over.
 * @example
 * const report = await limitTime(readReport(), { timeoutMs: 250 });
 */
export async function limitTime<Value>(
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
  // Whoever gave up hears no more of it.
  promise.catch(() => {});
  try {
    return await Promise.race([promise, limit]);
  } finally {
    clearTimeout(timer);
  }
}
