import { test } from "uvu";
import * as assert from "uvu/assert";
import { readdir, readFile } from "node:fs/promises";
import { join } from "node:path";

const EXPORT =
  /^export (?:abstract |async )*(?:function\*?|const|interface|type|class) (\w+)/;

async function listSources(): Promise<string[]> {
  const names = await readdir("src", { recursive: true });
  return names
    .filter((name) => name.endsWith(".ts") && !name.endsWith("_test.ts"))
    .filter((name) => !name.includes("gen/"))
    .map((name) => join("src", name));
}

function findUndocumented(text: string): string[] {
  const lines = text.split("\n");
  return lines.flatMap((line, at) => {
    const name = EXPORT.exec(line)?.[1];
    const documented = lines[at - 1]?.trimEnd().endsWith("*/");
    return name === undefined || documented ? [] : [name];
  });
}

test("every module and public item has a doc comment", async () => {
  const undocumented: string[] = [];
  for (const path of await listSources()) {
    const text = await readFile(path, "utf8");
    if (!text.includes("@module")) undocumented.push(path);
    undocumented.push(
      ...findUndocumented(text).map((name) => `${path}: ${name}`),
    );
  }
  assert.equal(undocumented, []);
});

test("every public function documents its return value, errors and an example", async () => {
  const incomplete: string[] = [];
  for (const path of await listSources()) {
    const text = await readFile(path, "utf8");
    const comments = text.matchAll(
      /\/\*\*((?:(?!\*\/)[\s\S])*)\*\/\nexport (?:async )?function (\w+)/g,
    );
    for (const [, comment, name] of comments) {
      if (path.includes("_lib/")) continue;
      const isComplete = ["@returns", "@throws", "@example"]
        .every((tag) => comment.includes(tag));
      if (!isComplete) incomplete.push(`${path}: ${name}`);
    }
  }
  assert.equal(incomplete, []);
});

test.run();
