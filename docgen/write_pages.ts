/**
 * Writes the files that are generated from the code. Run by `npm run docs`.
 *
 * @module
 */

import { writeFile } from "node:fs/promises";
import { makeGeneratedFiles } from "./format_pages.ts";

for (const { path, text } of makeGeneratedFiles()) await writeFile(path, text);
