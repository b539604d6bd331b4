/**
 * Settings: their schemas, and loading and validation of settings files.
 *
 * @module
 */

export * from "./load_settings.ts";
export * from "./parse_settings.ts";
export * from "./schemas.ts";
export * from "./settings_error.ts";
