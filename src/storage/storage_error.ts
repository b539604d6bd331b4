/**
 * Errors of the storage layer.
 *
 * @module
 */

import ModernError from "modern-errors";

/** Base of all errors of the storage layer. */
export const StorageError = ModernError.subclass("StorageError");

/** A file is damaged other than by a torn tail. */
export const StorageDamageError = StorageError.subclass("StorageDamageError");

/** The data folder belongs to another VM or fleet, or is in use. */
export const StorageOwnerError = StorageError.subclass("StorageOwnerError");
