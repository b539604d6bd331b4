/**
 * The storage format's constants.
 *
 * @module
 */

/** Version of the format; a folder of another version is refused. */
export const FORMAT_VERSION = 1;

/** First four bytes of each frame: "CLF1". */
export const FRAME_MAGIC = 0x434c4631;

/** Bytes before a frame's payload: magic, length, and the payload's checksum. */
export const FRAME_HEADER_BYTES = 12;

/** Largest payload of one frame, in bytes; a longer length is damage. */
export const MAX_FRAME_BYTES = 256 * 1024 * 1024;

/** Ms between two tries to write while the disk is full. */
export const DISK_FULL_RETRY_MS = 1_000;

/** File of a data folder's identity. */
export const IDENTITY_FILE = "identity";

/** File of the newest snapshot. */
export const SNAPSHOT_FILE = "snapshot";

/** Log files: this and a number, the highest counts. */
export const LOG_PREFIX = "log-";
