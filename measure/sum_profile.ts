/**
 * Sums a processor profile of the runtime by module.
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

/** Modules that the table shows. */
const SHOWN = 28;

const US_PER_MS = 1_000;

/** A comment of the bundler that names the module of the lines behind it. */
const MODULE_COMMENT = /^\s*\/\/ ((?:src|platform|node_modules)\/\S+)$/;

/**
 * Sums the time that each module took by itself: a file of the project, a
 * package, a module of the runtime, or what the runtime does outside of code.
 *
 * @param file - The profile.
 * @param options - The bundle that was run, not minified.
 * @returns The modules that took most.
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
  const sums = new Map<string, number>();
  profile.samples.forEach((id, at) => {
    const name = names.get(id) ?? "";
    const ms = profile.timeDeltas[at] / US_PER_MS;
    sums.set(name, (sums.get(name) ?? 0) + ms);
  });
  sums.delete("(idle)");
  const total = [...sums.values()].reduce((sum, ms) => sum + ms, 0);
  return [...sums].sort((a, b) => b[1] - a[1]).slice(0, SHOWN)
    .map(([module, ms]) => ({
      module,
      ms: ms.toFixed(0),
      share: (ms / total).toFixed(3),
    }));
}

// Packages count as one module each.
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
