/**
 * Errors of settings files.
 *
 * @module
 */

import ModernError from "modern-errors";

/** A settings file can't be read or is wrong; the message names each place. */
export const SettingsError = ModernError.subclass("SettingsError");
