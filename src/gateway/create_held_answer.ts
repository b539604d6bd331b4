/**
 * Holds the body of an answer until it is complete.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import { createChunkList } from "./create_chunk_list.ts";
import type { AnswerSource, HeldBytes } from "./create_held_bytes.ts";

/** The body of an answer; disposing of it releases the memory that it is charged for. */
export interface HeldAnswer extends Disposable {
  push(chunk: Buffer): void;
  /** Ends the answer and returns its body. */
  end(): Buffer;
  /** Releases it once a response that it was forwarded to is closed, or at once. */
  releaseWith(response: ServerResponse): void;
}

/**
 * Creates the holder of one answer.
 *
 * @param heldBytes - The bytes held of all answers.
 * @param source - The upstream, and the functions that stop and resume reading.
 * @returns The holder, empty.
 * @throws Nothing.
 * @example
 * const answer = createHeldAnswer(context.heldBytes, source);
 */
export function createHeldAnswer(
  heldBytes: HeldBytes,
  source: AnswerSource,
): HeldAnswer {
  const hold = heldBytes.open(source);
  const chunks = createChunkList();

  function release(): void {
    chunks.clear();
    hold[Symbol.dispose]();
  }

  return {
    push(chunk) {
      chunks.push(chunk);
      hold.add(chunk.length);
    },
    end() {
      hold.end();
      return chunks.take();
    },
    releaseWith(response) {
      if (response.writableEnded && !response.closed) {
        chunks.clear();
        response.once("close", release);
      } else release();
    },
    [Symbol.dispose]: release,
  };
}
