// Bundles the program that runs on the platform into target/: one file loads
// in a fraction of the time that the packages' many files take.
//
// With --readable FILE it only writes a bundle whose lines name the modules that
// they come from, for a profile; it runs the role that it is given.
import { execFileSync } from "node:child_process";
import { copyFileSync, existsSync, rmSync, statSync } from "node:fs";
import process from "node:process";
import { fileURLToPath } from "node:url";

const lock = "node_modules/.package-lock.json";
const isInstalled = existsSync(lock) &&
  statSync(lock).mtimeMs >= statSync("package-lock.json").mtimeMs;
if (!isInstalled) {
  execFileSync("npm", ["ci", "--no-audit", "--no-fund"], {
    stdio: ["ignore", 2, 2],
  });
}
const { build } = await import("esbuild");

const OPTIONS = {
  bundle: true,
  platform: "node",
  // One package has a UMD main whose requires the bundler cannot follow.
  mainFields: ["module", "main"],
  target: "node20",
  format: "cjs",
  logLevel: "warning",
};

/** Ms for the warm-up: longer than it waits for anything, so that it ends what it started. */
const WARM_UP_LIMIT_MS = 90_000;

/** Puts the parts of undici that the programs use in the place of its index. */
const undiciParts = {
  name: "undici-parts",
  setup(bundler) {
    const path = fileURLToPath(new URL("undici_parts.cjs", import.meta.url));
    bundler.onResolve({ filter: /^undici$/ }, () => ({ path }));
  },
};

const PROGRAM = {
  ...OPTIONS,
  entryPoints: ["platform/main.ts"],
  plugins: [undiciParts],
};

const [option, readableFile] = process.argv.slice(2);
if (option === "--readable") {
  await build({
    ...PROGRAM,
    outfile: readableFile,
    footer: { js: "void module.exports.main(process.argv[2]);" },
  });
  process.exit();
}

for (const old of ["entry.cache", "control.cache"]) {
  rmSync(`target/${old}`, { force: true });
}
await build({
  ...PROGRAM,
  outfile: "target/bundle.cjs",
  minify: true,
  keepNames: true,
  lineLimit: 160,
});
copyFileSync("scripts/launch.cjs", "target/crowlever.cjs");

// The caches only save time: where a machine can't run the programs, they start
// without.
await build({
  ...OPTIONS,
  entryPoints: ["scripts/warm_up.ts"],
  outfile: "target/warm_up.cjs",
});
try {
  execFileSync(process.execPath, ["target/warm_up.cjs"], {
    stdio: ["ignore", 2, 2],
    timeout: WARM_UP_LIMIT_MS,
  });
} catch (error) {
  process.stderr.write(
    `The warm-up failed, starts may cost more: ${error.message}\n`,
  );
}
rmSync("target/warm_up.cjs", { force: true });
