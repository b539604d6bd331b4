/**
 * Reads the complete body of a request, within limits of size and time.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { IncomingMessage } from "node:http";
import type { BodyHold } from "./create_body_memory.ts";

/** The body, or why there is none. */
export type ReadBody =
  | { readonly type: "whole"; readonly body: Buffer | null }
  | { readonly type: "tooLarge" }
  /** The process has no memory for it now. */
  | { readonly type: "noRoom" }
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
  /** Charged for the body; the caller of this function releases it. */
  readonly hold: BodyHold;
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
 * const read = await readBody(request.raw, { maxBytes, timeoutMs, idleTimeoutMs, hold });
 */
export function readBody(
  message: IncomingMessage,
  options: ReadBodyOptions,
): Promise<ReadBody> {
  const { maxBytes, timeoutMs, idleTimeoutMs, hold } = options;
  const declaredBytes = Number(message.headers["content-length"] ?? 0);
  if (declaredBytes > maxBytes) return Promise.resolve({ type: "tooLarge" });
  if (declaredBytes > 0 && !hold.hasRoomFor(declaredBytes)) {
    return Promise.resolve({ type: "noRoom" });
  }
  return new Promise((resolve) => {
    const content = createContent(options, declaredBytes || maxBytes);
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
      const added = content.add(chunk);
      if (added !== "added") return finish({ type: added });
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
function createContent(
  { maxBytes, hold }: Pick<ReadBodyOptions, "maxBytes" | "hold">,
  expectedBytes: number,
) {
  let block: Buffer = Buffer.alloc(0);
  let lengthBytes = 0;

  function getNewSize(neededBytes: number): number {
    if (lengthBytes === 0) return neededBytes;
    const doubledBytes = Math.max(2 * block.length, MIN_BLOCK_BYTES);
    return Math.max(neededBytes, Math.min(expectedBytes, doubledBytes));
  }

  function enlarge(sizeBytes: number): void {
    const larger = Buffer.allocUnsafeSlow(sizeBytes);
    block.copy(larger, 0, 0, lengthBytes);
    block = larger;
  }

  return {
    add(chunk: Buffer): "added" | "tooLarge" | "noRoom" {
      const neededBytes = lengthBytes + chunk.length;
      if (neededBytes > maxBytes) return "tooLarge";
      if (neededBytes > block.length) {
        const sizeBytes = getNewSize(neededBytes);
        if (!hold.add(sizeBytes - block.length)) return "noRoom";
        if (lengthBytes > 0) enlarge(sizeBytes);
      }
      if (lengthBytes === 0) block = chunk;
      else chunk.copy(block, lengthBytes);
      lengthBytes = neededBytes;
      return "added";
    },
    get: () => lengthBytes === 0 ? null : block.subarray(0, lengthBytes),
  };
}
