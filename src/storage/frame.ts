/**
 * Checksummed frames: magic, payload length, CRC-32 over length and payload,
 * then the payload. All numbers are big-endian.
 *
 * @module
 */

import { Buffer } from "node:buffer";
import { crc32 } from "node:zlib";
import {
  FRAME_HEADER_BYTES,
  FRAME_MAGIC,
  MAX_FRAME_BYTES,
} from "./constants.ts";
import { StorageDamageError } from "./storage_error.ts";

/** Result of scanning a file for frames. */
export interface FrameScan {
  readonly payloads: readonly string[];
  /** Size, in bytes, of the valid frames at the start of the file. */
  readonly validBytes: number;
  /** Size, in bytes, of the torn tail that follows them. */
  readonly tornBytes: number;
}

/**
 * Encodes one frame.
 *
 * @param payload - The text to encode.
 * @returns The frame's bytes.
 * @throws Nothing.
 * @example
 * const bytes = encodeFrame("{}");
 */
export function encodeFrame(payload: string): Buffer {
  const body = Buffer.from(payload, "utf8");
  const header = Buffer.alloc(FRAME_HEADER_BYTES);
  header.writeUInt32BE(FRAME_MAGIC, 0);
  header.writeUInt32BE(body.length, 4);
  header.writeUInt32BE(getChecksum(header, body), 8);
  return Buffer.concat([header, body]);
}

/**
 * Reads all frames of a file.
 *
 * An invalid frame that no valid frame follows is a torn tail, left by a write
 * that was interrupted before its sync. Anything else is corruption.
 *
 * @param bytes - The file's content.
 * @param options - The file's name, for error messages.
 * @returns The payloads and the sizes of the valid part and the torn tail.
 * @throws {StorageDamageError} If the file is corrupt; the message names the
 * file and the offset.
 * @example
 * const { payloads } = scanFrames(bytes, { file: "log-1" });
 */
export function scanFrames(
  bytes: Buffer,
  options: { file: string },
): FrameScan {
  const payloads: string[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const payload = readFrame(bytes, offset);
    if (payload === undefined) break;
    payloads.push(payload.toString("utf8"));
    offset += FRAME_HEADER_BYTES + payload.length;
  }
  if (offset < bytes.length && hasValidFrameAfter(bytes, offset + 1)) {
    throw new StorageDamageError(
      `File ${options.file} is damaged at offset ${offset}: valid frames follow an invalid one`,
    );
  }
  return { payloads, validBytes: offset, tornBytes: bytes.length - offset };
}

function getChecksum(header: Buffer, body: Buffer): number {
  return crc32(body, crc32(header.subarray(4, 8)));
}

function readFrame(bytes: Buffer, offset: number): Buffer | undefined {
  const bodyOffset = offset + FRAME_HEADER_BYTES;
  if (bodyOffset > bytes.length) return undefined;
  if (bytes.readUInt32BE(offset) !== FRAME_MAGIC) return undefined;
  const sizeBytes = bytes.readUInt32BE(offset + 4);
  if (sizeBytes > MAX_FRAME_BYTES) return undefined;
  if (bodyOffset + sizeBytes > bytes.length) return undefined;
  const body = bytes.subarray(bodyOffset, bodyOffset + sizeBytes);
  const header = bytes.subarray(offset, bodyOffset);
  if (getChecksum(header, body) !== header.readUInt32BE(8)) return undefined;
  return body;
}

function hasValidFrameAfter(bytes: Buffer, from: number): boolean {
  const magic = Buffer.alloc(4);
  magic.writeUInt32BE(FRAME_MAGIC);
  let at = bytes.indexOf(magic, from);
  while (at >= 0) {
    if (readFrame(bytes, at) !== undefined) return true;
    at = bytes.indexOf(magic, at + 1);
  }
  return false;
}
