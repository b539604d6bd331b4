/**
 * Waits for an address that a process before still uses.
 *
 * @module
 */

import { setTimeout as sleep } from "node:timers/promises";

/** Options of {@link retryWhileAddressInUse}. */
export interface RetryWhileAddressInUseOptions {
  /** Longest time to wait for the address, in ms. */
  readonly waitMs: number;
  /** Called once if the address is in use. */
  readonly onInUse?: (error: unknown) => void;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

const RETRY_INTERVAL_MS = 50;

/**
 * Listens at an address, and tries again while it is in use.
 *
 * A program that is started anew may meet its predecessor, which still finishes its
 * requests or is suspended.
 *
 * @param listen - Listens; rejects if the address is in use.
 * @param options - How long to wait.
 * @returns The result of the function that listens.
 * @throws {Error} When the address stays in use, or can't be used for another reason.
 * @example
 * await retryWhileAddressInUse(() => server.listen({ host, port }), options);
 */
export async function retryWhileAddressInUse<Result>(
  listen: () => Promise<Result>,
  options: RetryWhileAddressInUseOptions,
): Promise<Result> {
  const { waitMs, onInUse = () => {}, now } = options;
  const endMs = now() + waitMs;
  let isReported = false;
  while (true) {
    try {
      return await listen();
    } catch (error) {
      if (!isAddressInUse(error) || now() >= endMs) throw error;
      if (!isReported) onInUse(error);
      isReported = true;
      await sleep(RETRY_INTERVAL_MS);
    }
  }
}

function isAddressInUse(error: unknown): boolean {
  return (error as NodeJS.ErrnoException).code === "EADDRINUSE";
}
