/**
 * Reads the complete body of a request, within limits of size and time.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";

/** The body, or why there is none. */
export type ReadBody =
  | { readonly type: "whole"; readonly body: Buffer | null }
  | { readonly type: "tooLarge" }
  /** It did not arrive in time. */
  | { readonly type: "late" }
  | { readonly type: "cut" };

/** Options of {@link readBody}. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Ms within which the body has to be complete. */
  readonly timeoutMs: number;
  /** Ms within which at least one more byte has to arrive. */
  readonly idleTimeoutMs: number;
}

/** Smallest block into which a body of several chunks is copied. */
const MIN_BLOCK_BYTES = 4_096;

/** Longest delay of a timer. */
const MAX_TIMER_MS = 2 ** 31 - 1;

/**
 * Reads a body.
 *
 * @param message - The caller's request; the rest of a body that is not whole is unread.
 * @param options - Limits of size and time.
 * @returns The body, null where it is empty.
 * @throws Nothing.
 * @example
 * const read = await readBody(request.raw, { maxBytes, timeoutMs, idleTimeoutMs });
 */
export function readBody(
  message: IncomingMessage,
  options: ReadBodyOptions,
): Promise<ReadBody> {
  const { maxBytes, timeoutMs, idleTimeoutMs } = options;
  const declaredBytes = Number(message.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) return Promise.resolve({ type: "tooLarge" });
  return new Promise((resolve) => {
    const content = createContent(maxBytes);
    const deadline = startTimer(timeoutMs, () => finish({ type: "late" }));
    const idle = startTimer(idleTimeoutMs, () => {
      if (!hasProgress) finish({ type: "late" });
    });
    let hasProgress = false;

    // Data that arrived in time may not have been read yet when a timer fires.
    function startTimer(
      delayMs: number,
      onEnd: () => void,
    ): ReturnType<typeof setTimeout> {
      return setTimeout(() => {
        hasProgress = false;
        setImmediate(onEnd);
      }, Math.min(MAX_TIMER_MS, Math.max(0, delayMs)));
    }

    function finish(result: ReadBody): void {
      clearTimeout(deadline);
      clearTimeout(idle);
      message.off("data", handleData).off("end", handleEnd)
        .off("error", handleCut).off("close", handleCut);
      resolve(result);
    }

    function handleData(chunk: Buffer): void {
      if (!content.add(chunk)) return finish({ type: "tooLarge" });
      hasProgress = true;
      idle.refresh();
    }

    function handleEnd(): void {
      finish({ type: "whole", body: content.get() });
    }

    function handleCut(): void {
      finish({ type: "cut" });
    }

    message.on("data", handleData).on("end", handleEnd)
      .on("error", handleCut).on("close", handleCut);
  });
}

// Chunks are copied into one block, as each one takes memory of its own.
function createContent(maxBytes: number) {
  let block: Buffer = Buffer.alloc(0);
  let lengthBytes = 0;

  function enlarge(neededBytes: number): void {
    const doubledBytes = Math.max(2 * block.length, MIN_BLOCK_BYTES);
    const sizeBytes = Math.max(neededBytes, Math.min(maxBytes, doubledBytes));
    const larger = Buffer.allocUnsafeSlow(sizeBytes);
    block.copy(larger, 0, 0, lengthBytes);
    block = larger;
  }

  return {
    /** Adds a chunk; false if the body is too large with it. */
    add(chunk: Buffer): boolean {
      const neededBytes = lengthBytes + chunk.length;
      if (neededBytes > maxBytes) return false;
      if (lengthBytes === 0) block = chunk;
      else {
        if (neededBytes > block.length) enlarge(neededBytes);
        chunk.copy(block, lengthBytes);
      }
      lengthBytes = neededBytes;
      return true;
    },
    get: () => lengthBytes === 0 ? null : block.subarray(0, lengthBytes),
  };
}
