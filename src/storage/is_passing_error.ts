/**
 * Tells errors of file operations that pass by themselves from lasting ones.
 *
 * @module
 */

const DISK_FULL_CODES = ["ENOSPC", "EDQUOT"];

/** Descriptors of the process or the machine, or the kernel's memory, are short. */
const SHORTAGE_CODES = ["EMFILE", "ENFILE", "ENOMEM"];

/**
 * Tells whether a file operation failed because the disk is full.
 *
 * @param error - The error.
 * @returns Whether the disk, or the quota on it, is full.
 * @throws Nothing.
 * @example
 * isDiskFullError(error);
 */
export function isDiskFullError(error: unknown): boolean {
  return DISK_FULL_CODES.includes(getCode(error));
}

/**
 * Tells whether a file operation that failed can be tried again later.
 *
 * A shortage refuses the operation, so it can be repeated as a whole. After an
 * input/output error of a sync the content of the disk is unknown, which repeating the
 * sync would hide.
 *
 * @param error - The error.
 * @returns Whether a resource was short.
 * @throws Nothing.
 * @example
 * if (!isPassingError(error)) throw error;
 */
export function isPassingError(error: unknown): boolean {
  return isDiskFullError(error) || SHORTAGE_CODES.includes(getCode(error));
}

function getCode(error: unknown): string {
  return (error as NodeJS.ErrnoException | undefined)?.code ?? "";
}
