/**
 * Collects the chunks of a body.
 *
 * @module
 */

import { Buffer } from "node:buffer";

/** Chunks in the order in which they came. */
export interface ChunkList {
  push(chunk: Buffer): void;
  isEmpty(): boolean;
  /** Returns all bytes, and empties the list. */
  take(): Buffer;
  /** Empties the list. */
  clear(): void;
}

/** Smaller chunks are copied into a block, as each one takes memory of its own. */
const MIN_CHUNK_BYTES = 2_048;

const MIN_BLOCK_BYTES = 256;

const MAX_BLOCK_BYTES = 16_384;

/**
 * Creates a list, empty at first. What it keeps of small chunks is about as large as
 * their bytes.
 *
 * @returns The list.
 * @throws Nothing.
 * @example
 * const chunks = createChunkList();
 */
export function createChunkList(): ChunkList {
  let chunks: Buffer[] = [];
  let block = Buffer.alloc(0);
  let blockLength = 0;

  function closeBlock(): void {
    if (blockLength > 0) chunks.push(block.subarray(0, blockLength));
    block = Buffer.alloc(0);
    blockLength = 0;
  }

  // Most bodies are small, so that blocks grow.
  function openBlock(minBytes: number): void {
    const bytes = Math.min(MAX_BLOCK_BYTES, 4 * block.length);
    closeBlock();
    block = Buffer.allocUnsafeSlow(Math.max(MIN_BLOCK_BYTES, minBytes, bytes));
  }

  function copy(chunk: Buffer): void {
    if (block.length - blockLength < chunk.length) openBlock(chunk.length);
    blockLength += chunk.copy(block, blockLength);
  }

  function clear(): void {
    closeBlock();
    chunks = [];
  }

  return {
    push(chunk) {
      if (chunk.length < MIN_CHUNK_BYTES) return copy(chunk);
      closeBlock();
      chunks.push(chunk);
    },
    isEmpty: () => chunks.length === 0 && blockLength === 0,
    take() {
      closeBlock();
      const bytes = Buffer.concat(chunks);
      chunks = [];
      return bytes;
    },
    clear,
  };
}
