/**
 * Writes the files that are made from the code: `npm run docs`.
 *
 * @module
 */

import { writeFile } from "node:fs/promises";
import { makeGeneratedFiles } from "./format_pages.ts";

for (const { path, text } of makeGeneratedFiles()) await writeFile(path, text);
