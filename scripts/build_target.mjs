// Bundles the program that runs on the platform into target/: one file loads
// in a fraction of the time that the packages' many files take.
import { execFileSync } from "node:child_process";
import { copyFileSync, existsSync, rmSync, statSync } from "node:fs";
import process from "node:process";

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
  outfile: "target/bundle.cjs",
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
// The cache fits only a runtime with the flags under which it was made: these
// are the ones in deploy/system.toml.
const FLAGS = ["--max-old-space-size=160", "--max-semi-space-size=4"];
rmSync("target/bundle.cache", { force: true });
copyFileSync("scripts/launch.cjs", "target/crowlever.cjs");
execFileSync(process.execPath, [...FLAGS, "target/crowlever.cjs"], {
  env: { ...process.env, CREATE_CACHE: "1" },
});
