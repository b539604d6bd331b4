/**
 * Sums the self time in a V8 CPU profile by module.
 *
 * @module
 */

import { readFile } from "node:fs/promises";
import type { TableRow } from "./print_table.ts";

interface Profile {
  readonly nodes: readonly {
    readonly id: number;
    readonly callFrame: {
      readonly functionName: string;
      readonly url: string;
      readonly lineNumber: number;
    };
  }[];
  readonly samples: readonly number[];
  readonly timeDeltas: readonly number[];
}

/** Maximum number of modules in the table. */
const MAX_ROWS = 28;

const US_PER_MS = 1_000;

/** Comment by which the bundler names the module of the following lines. */
const MODULE_COMMENT = /^\s*\/\/ ((?:src|platform|node_modules)\/\S+)$/;

/**
 * Sums the self time of each module: a source file of the project, a package, a
 * built-in module, or work of the runtime outside of JavaScript such as garbage
 * collection. Idle time is left out.
 *
 * @param file - Path of the `.cpuprofile` file.
 * @param options - Path of the profiled bundle, which must not be minified.
 * @returns The modules with the most self time, as table rows.
 * @throws {Error} When a file can't be read.
 * @example
 * printTable(await sumProfile(file, { bundleFile }));
 */
export async function sumProfile(
  file: string,
  options: { readonly bundleFile: string },
): Promise<TableRow[]> {
  const profile = JSON.parse(await readFile(file, "utf8")) as Profile;
  const modulesByLine = listModules(await readFile(options.bundleFile, "utf8"));
  const names = new Map(
    profile.nodes.map(({ id, callFrame }) => {
      const { functionName, url, lineNumber } = callFrame;
      if (url === "") return [id, functionName];
      const isBundle = url.endsWith(options.bundleFile);
      return [id, isBundle ? modulesByLine[lineNumber] : url];
    }),
  );
  const msByModule = new Map<string, number>();
  profile.samples.forEach((id, at) => {
    const name = names.get(id) ?? "";
    const ms = profile.timeDeltas[at] / US_PER_MS;
    msByModule.set(name, (msByModule.get(name) ?? 0) + ms);
  });
  msByModule.delete("(idle)");
  const total = [...msByModule.values()].reduce((sum, ms) => sum + ms, 0);
  return [...msByModule].sort((a, b) => b[1] - a[1]).slice(0, MAX_ROWS)
    .map(([module, ms]) => ({
      module,
      ms: ms.toFixed(0),
      share: (ms / total).toFixed(3),
    }));
}

// Returns the module of each line of the bundle. All files of a package count as
// one module.
function listModules(bundle: string): string[] {
  let current = "bundle";
  return bundle.split("\n").map((line) => {
    const [, path] = MODULE_COMMENT.exec(line) ?? [];
    if (path === undefined) return current;
    const [, name] = /node_modules\/((?:@[^/]+\/)?[^/]+)/.exec(path) ?? [];
    current = name ?? path;
    return current;
  });
}
