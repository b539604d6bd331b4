/**
 * Constants of the storage format.
 *
 * @module
 */

/** Format version; a data folder of another version is rejected. */
export const FORMAT_VERSION = 1;

/** First four bytes of each frame: "CLF1". */
export const FRAME_MAGIC = 0x434c4631;

/** Size of a frame header, in bytes: magic, payload length and checksum. */
export const FRAME_HEADER_BYTES = 12;

/** Maximum payload of a frame, in bytes; a longer length means corruption. */
export const MAX_FRAME_BYTES = 256 * 1024 * 1024;

/** Interval, in ms, between write attempts while the disk is full or a resource short. */
export const WRITE_RETRY_MS = 1_000;

/** Name of the identity file in a data folder. */
export const IDENTITY_FILE = "identity";

/** Name of the file with the newest snapshot. */
export const SNAPSHOT_FILE = "snapshot";

/**
 * Prefix of the log files, followed by a sequence number; the file with the
 * highest number is the current one.
 */
export const LOG_PREFIX = "log-";
