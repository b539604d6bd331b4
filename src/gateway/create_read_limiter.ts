/**
 * Limits what upstreams may send without progress, and the time that one turn of the
 * event loop spends on reading from them.
 *
 * @module
 */

import type { Buffer } from "node:buffer";
import type { Socket } from "node:net";
import type { UpstreamLimitsSettings } from "../settings/index.ts";
import { UpstreamLimitError } from "./gateway_error.ts";

/** What a connection has received since its upstream last made progress. */
export interface ReadMeter {
  /** The connection. */
  readonly socket: Socket;
  /** Records that received bytes were of use. */
  noteProgress(usefulBytes: number): void;
  /** Starts anew, for the next answer on the connection. */
  reset(): void;
  /** Stops reading from the connection. */
  pause(): void;
  resume(): void;
}

/** Options of {@link createReadLimiter}. */
export interface CreateReadLimiterOptions extends
  Pick<
    UpstreamLimitsSettings,
    "withoutProgressBytes" | "withoutProgressReads"
  > {
  /** Ms for which one turn of the event loop reads from upstreams. */
  readonly turnMs?: number;
  /** Monotonic time, in ms. */
  readonly now?: () => number;
}

/** Limits the reading from a set of connections. */
export interface ReadLimiter {
  /** Limits a connection; it is destroyed once its upstream exceeds a limit. */
  watch(socket: Socket): void;
  /** The meter of the connection whose bytes are being parsed. */
  getCurrent(): ReadMeter | undefined;
}

/** Ms for which one turn reads; callers notice pauses of 50 ms and more. */
const TURN_MS = 10;

/**
 * Bytes that are parsed at once. The HTTP library ends a head that is too long only
 * after it has parsed all bytes that it was given.
 */
const SLICE_BYTES = 4_096;

/** Bytes that are read before a turn is timed. */
const UNTIMED_BYTES = 16_384;

/** Bytes of framing that one byte of use may need: small chunks, or short events. */
const OVERHEAD_FACTOR = 4;

/** A piece below this size without progress counts towards the number of reads. */
const SMALL_PIECE_BYTES = 128;

/**
 * Small pieces that a second allows for: a comment in a few pieces, which keeps a
 * connection open.
 */
const SMALL_PIECES_PER_S = 4;

const MS_PER_S = 1_000;

/**
 * Creates a read limiter.
 *
 * @param options - The limits, and the time for reading in each turn.
 * @returns The limiter.
 * @throws Nothing.
 * @example
 * const limiter = createReadLimiter({ withoutProgressBytes, withoutProgressReads });
 */
export function createReadLimiter(
  options: CreateReadLimiterOptions,
): ReadLimiter {
  const { withoutProgressBytes, withoutProgressReads } = options;
  const { turnMs = TURN_MS, now = () => performance.now() } = options;
  const waiting = new Set<Socket>();
  let turnStartMs: number | undefined;
  let untimedBytes = 0;
  let current: ReadMeter | undefined;

  function startTurn(): void {
    turnStartMs = now();
    setImmediate(endTurn);
  }

  function isTurnOver(): boolean {
    return turnStartMs !== undefined && now() - turnStartMs >= turnMs;
  }

  // Connections that had no time in the last turn come first.
  function endTurn(): void {
    turnStartMs = undefined;
    if (waiting.size === 0) return;
    startTurn();
    for (const socket of [...waiting]) {
      if (isTurnOver()) return;
      waiting.delete(socket);
      socket.emit("readable");
    }
  }

  // A turn is timed only once much has arrived: each one ends in an extra callback.
  function noteBytes(bytes: number): void {
    if (turnStartMs !== undefined) return;
    untimedBytes += bytes;
    if (untimedBytes < UNTIMED_BYTES) return;
    untimedBytes = 0;
    startTurn();
  }

  return {
    getCurrent: () => current,
    watch(socket) {
      const read = socket.read.bind(socket);
      const unshift = socket.unshift.bind(socket);
      let excessBytes = 0;
      let smallPieces = 0;
      let smallPieceMs = now();
      let receivedBytes = socket.bytesRead;
      // Bytes that the library has put back when it was paused.
      let returnedBytes = 0;
      let isPaused = false;

      // The library can't read from one connection while it parses what came from another.
      function readOn(): void {
        if (!isPaused && !socket.destroyed) socket.emit("readable");
      }

      const meter: ReadMeter = {
        socket,
        noteProgress(usefulBytes) {
          excessBytes = Math.max(
            0,
            excessBytes - OVERHEAD_FACTOR * usefulBytes,
          );
          smallPieces = 0;
        },
        reset() {
          excessBytes = 0;
          smallPieces = 0;
          isPaused = false;
        },
        pause() {
          isPaused = true;
        },
        resume() {
          if (!isPaused) return;
          isPaused = false;
          queueMicrotask(readOn);
        },
      };

      // One piece may be read in several slices.
      function noteReceived(): void {
        const pieceBytes = socket.bytesRead - receivedBytes;
        receivedBytes = socket.bytesRead;
        if (pieceBytes === 0 || pieceBytes >= SMALL_PIECE_BYTES) return;
        const nowMs = now();
        const allowed = (nowMs - smallPieceMs) * SMALL_PIECES_PER_S / MS_PER_S;
        smallPieces = Math.max(0, smallPieces - allowed) + 1;
        smallPieceMs = nowMs;
      }

      function findExceeded() {
        if (excessBytes > withoutProgressBytes) return "withoutProgressBytes";
        if (smallPieces > withoutProgressReads) return "withoutProgressReads";
      }

      // The library reads all that has arrived, until it gets null.
      function readSlice(): Buffer | null {
        if (isPaused) return null;
        if (socket.readableLength > 0 && isTurnOver()) {
          waiting.add(socket);
          return null;
        }
        const bytes = Math.min(socket.readableLength, SLICE_BYTES);
        const chunk: Buffer | null = bytes === 0 ? read() : read(bytes);
        if (chunk === null) return null;
        noteBytes(chunk.length);
        const newBytes = Math.max(0, chunk.length - returnedBytes);
        returnedBytes -= chunk.length - newBytes;
        excessBytes += newBytes;
        noteReceived();
        const limit = findExceeded();
        if (limit) {
          const message = `upstream exceeded ${limit}`;
          socket.destroy(new UpstreamLimitError(message, { props: { limit } }));
          return null;
        }
        current = meter;
        return chunk;
      }

      // The runtime itself calls `read(0)`, which starts reading and takes nothing.
      socket.read = (size?: number): Buffer | null =>
        size === undefined ? readSlice() : read(size);
      socket.unshift = (chunk: Buffer) => {
        returnedBytes += chunk.length;
        unshift(chunk);
      };
      socket.on("close", () => waiting.delete(socket));
    },
  };
}
