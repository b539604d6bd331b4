// Bundles the program that runs on the platform into target/: one file loads
// in a fraction of the time that the packages' many files take.
import { execFileSync } from "node:child_process";
import { existsSync, statSync } from "node:fs";

const lock = "node_modules/.package-lock.json";
const isInstalled = existsSync(lock) &&
  statSync(lock).mtimeMs >= statSync("package-lock.json").mtimeMs;
if (!isInstalled) {
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", 2, 2],
  });
}
const { build } = await import("esbuild");
await build({
  entryPoints: ["platform/main.ts"],
  outfile: "target/crowlever.cjs",
  bundle: true,
  minify: true,
  keepNames: true,
  lineLimit: 160,
  platform: "node",
  // One package has a UMD main whose requires the bundler cannot follow.
  mainFields: ["module", "main"],
  target: "node20",
  format: "cjs",
  logLevel: "warning",
});
