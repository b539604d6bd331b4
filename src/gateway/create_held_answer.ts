/**
 * Holds the body of an answer until it is complete.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import type { ServerResponse } from "node:http";
import type { AnswerSource, HeldBytes } from "./create_held_bytes.ts";

/** The body of an answer; disposing of it releases the memory that it is charged for. */
export interface HeldAnswer extends Disposable {
  push(chunk: Buffer): void;
  /** Ends the answer and returns its body. */
  end(): Buffer;
  /** Releases it once a response that it was forwarded to is closed, or at once. */
  releaseWith(response: ServerResponse): void;
}

/** Smaller chunks are copied into a block, as each one takes memory of its own. */
const MIN_CHUNK_BYTES = 2_048;

const BLOCK_BYTES = 16_384;

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
  let chunks: Buffer[] = [];
  let block = Buffer.alloc(0);
  let blockLength = 0;

  function closeBlock(): void {
    if (blockLength > 0) chunks.push(block.subarray(0, blockLength));
    block = Buffer.alloc(0);
    blockLength = 0;
  }

  function copy(chunk: Buffer): void {
    if (block.length - blockLength < chunk.length) {
      closeBlock();
      block = Buffer.allocUnsafeSlow(BLOCK_BYTES);
    }
    blockLength += chunk.copy(block, blockLength);
  }

  function release(): void {
    chunks = [];
    closeBlock();
    chunks = [];
    hold[Symbol.dispose]();
  }

  return {
    push(chunk) {
      if (chunk.length >= MIN_CHUNK_BYTES) {
        closeBlock();
        chunks.push(chunk);
      } else copy(chunk);
      hold.add(chunk.length);
    },
    end() {
      closeBlock();
      hold.end();
      return Buffer.concat(chunks);
    },
    releaseWith(response) {
      if (response.writableEnded && !response.closed) {
        chunks = [];
        response.once("close", release);
      } else release();
    },
    [Symbol.dispose]: release,
  };
}
