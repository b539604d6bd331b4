/**
 * Loads a settings file.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import type { Static, TSchema } from "typebox";
import { parseSettings } from "./parse_settings.ts";
import { SettingsError } from "./settings_error.ts";

/**
 * Loads and validates a settings file.
 *
 * @param file - The file's path.
 * @param schema - The program's settings schema.
 * @returns The settings.
 * @throws {SettingsError} If the file can't be read or is invalid.
 * @example
 * const settings = await loadSettings("entry.jsonc", EntrySettingsSchema);
 */
export async function loadSettings<Schema extends TSchema>(
  file: string,
  schema: Schema,
): Promise<Static<Schema>> {
  const text = await readText(file);
  return parseSettings(text, { file, schema });
}

async function readText(file: string): Promise<string> {
  try {
    return await readFile(file, "utf8");
  } catch (cause) {
    throw new SettingsError(`Settings file ${file} can't be read`, { cause });
  }
}
