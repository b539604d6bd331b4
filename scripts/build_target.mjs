// Bundles the program that runs on the platform into target/: one file loads
// in a fraction of the time that the many files of the packages take.
//
// With --readable FILE it only writes an unminified bundle for profiling, in which
// comments name the source modules. That bundle runs the role given as its argument.
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
  // One package has a UMD entry point whose require calls esbuild cannot resolve.
  mainFields: ["module", "main"],
  target: "node20",
  format: "cjs",
  logLevel: "warning",
};

/**
 * Longer than any time-out inside the warm-up, so that the warm-up can stop the
 * processes that it started.
 */
const WARM_UP_LIMIT_MS = 90_000;

/** Replaces the index of undici by the modules that the programs use. */
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

// The code caches only save start-up time: where a machine can't run the warm-up,
// the programs start without them.
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
    `The warm-up failed, programs start without a code cache: ${error.message}\n`,
  );
}
rmSync("target/warm_up.cjs", { force: true });
