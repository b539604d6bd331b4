// Prepares a fresh clone: installs the locked packages unless they are up to date,
// and builds.
import { execFileSync } from "node:child_process";
import { existsSync, rmSync, statSync } from "node:fs";
import process from "node:process";

function run(command, args) {
  execFileSync(command, args, { stdio: ["ignore", 2, 2] });
}

const lock = "node_modules/.package-lock.json";
const isInstalled = existsSync(lock) &&
  statSync(lock).mtimeMs >= statSync("package-lock.json").mtimeMs;
try {
  if (!isInstalled) run("npm", ["ci", "--no-audit", "--no-fund"]);
  rmSync("dist", { recursive: true, force: true });
  run(process.execPath, [
    "node_modules/typescript/bin/tsc",
    "-p",
    "tsconfig.json",
  ]);
} catch {
  process.exit(1);
}
