/**
 * A time limit on whatever is awaited.
 *
 * @module
 */

/** An answer that did not come in time. */
export class TimeLimitError extends Error {
  override readonly name = "TimeLimitError";
}

/**
 * Rejects where a promise is not settled in time. The HTTP library's own
 * signals do not end a call whose connection is still being made.
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
    timer = setTimeout(
      () => reject(new TimeLimitError(`No answer within ${timeoutMs} ms`)),
      timeoutMs,
    );
  });
  // Whoever gave up hears no more of it.
  promise.catch(() => {});
  try {
    return await Promise.race([promise, limit]);
  } finally {
    clearTimeout(timer);
  }
}
