/**
 * Settings: their schemas, and how files are loaded and checked.
 *
 * @module
 */

export * from "./load_settings.ts";
export * from "./parse_settings.ts";
export * from "./schemas.ts";
export * from "./settings_error.ts";
