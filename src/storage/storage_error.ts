/**
 * Errors of the storage layer.
 *
 * @module
 */

import ModernError from "modern-errors";

const DAMAGE_ADVICE =
  "Keep a copy of the data folder. If a majority of the other replicas runs, start with an empty one: see docs/OPERATING.md";

/** Base class of the errors of the storage layer. */
export const StorageError = ModernError.subclass("StorageError");

/**
 * A file is corrupt other than by a torn tail. The message is that of the start that
 * fails, so it also says what to do.
 */
export const StorageDamageError = StorageError.subclass("StorageDamageError", {
  custom: class extends StorageError {
    constructor(message: string, options?: { cause?: unknown }) {
      super(`${message}. ${DAMAGE_ADVICE}`, options);
    }
  },
});

/** The data folder is of another VM, fleet or format version, or in use. */
export const StorageOwnerError = StorageError.subclass("StorageOwnerError");
