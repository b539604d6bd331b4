/**
 * Errors of the storage layer.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base class of the errors of the storage layer. */
export const StorageError = ModernError.subclass("StorageError");

/** A file is corrupt other than by a torn tail. */
export const StorageDamageError = StorageError.subclass("StorageDamageError");

/** The data folder is of another VM, fleet or format version, or in use. */
export const StorageOwnerError = StorageError.subclass("StorageOwnerError");
