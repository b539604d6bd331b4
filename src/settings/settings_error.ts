/**
 * Error of a settings file.
 *
 * @module
 */

import ModernError from "modern-errors";

/** A settings file can't be read or is invalid; the message lists all problems. */
export const SettingsError = ModernError.subclass("SettingsError");
