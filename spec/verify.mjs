// Verifies the specifications exhaustively with Spin: each must hold without
// faults, and each injected fault must be detected. Needs spin and gcc.
import { spawn } from "node:child_process";
import { mkdtempSync, rmSync } from "node:fs";
import { cpus, tmpdir } from "node:os";
import { dirname, join } from "node:path";
import process from "node:process";
import { fileURLToPath } from "node:url";

const here = dirname(fileURLToPath(import.meta.url));
const PARALLEL = Math.max(1, Math.min(4, cpus().length - 2));

/** The bounds that a check sets are printed with its result. */
const CHECKS = [
  { spec: "quorum", defines: ["MAX_TERM=3", "MAX_LOG=2", "MAX_CRASHES=1"] },
  { spec: "quorum", defines: ["MAX_TERM=2", "MAX_LOG=2", "MAX_CRASHES=2"] },
  {
    spec: "quorum",
    defines: [
      "REPLICAS=4",
      "WIPES",
      "CHANGES",
      "MAX_TERM=2",
      "MAX_LOG=3",
      "MAX_CRASHES=0",
    ],
    long: true,
  },
  {
    spec: "quorum",
    defines: ["MAX_TERM=3", "MAX_LOG=2", "MAX_CRASHES=2"],
    long: true,
  },
  {
    spec: "quorum",
    defines: [
      "CHANGES",
      "RETURNS",
      "MAX_TERM=2",
      "MAX_LOG=4",
      "MAX_CRASHES=0",
    ],
  },
  {
    spec: "quorum",
    defines: [
      "CHANGES",
      "RETURNS",
      "MAX_TERM=2",
      "MAX_LOG=3",
      "MAX_CRASHES=1",
    ],
  },
  {
    spec: "quorum",
    defines: [
      "REPLICAS=4",
      "WIPES",
      "CHANGES",
      "REMOVE_FIRST",
      "MAX_TERM=2",
      "MAX_LOG=3",
      "MAX_CRASHES=0",
    ],
    long: true,
  },
  { spec: "quorum", fault: "LOSE_VOTE" },
  { spec: "quorum", fault: "ANSWER_BEFORE_SYNC" },
  { spec: "quorum", fault: "ANY_LOG" },
  {
    spec: "quorum",
    fault: "COMMIT_OLD_TERM",
    defines: ["MAX_TERM=4"],
    long: true,
  },
  { spec: "quorum", fault: "SAME_ID", defines: ["WIPES"] },
  { spec: "quorum", fault: "TWO_AT_A_TIME", defines: ["CHANGES"] },
  { spec: "claims" },
  { spec: "claims", fault: "SEND_FIRST" },
  { spec: "claims", fault: "REGRANT_DEAD" },
  { spec: "claims", fault: "RETRY_UNKNOWN" },
  { spec: "claims", fault: "FREE_UNKNOWN" },
  { spec: "claims", fault: "WRONG_NOT_RUN" },
  { spec: "claims", fault: "ONE_HOLDER" },
  { spec: "adopt" },
  { spec: "adopt", fault: "TAKE_ANY" },
  { spec: "adopt", fault: "FORGET_DISK" },
  { spec: "adopt", fault: "SERVE_UNCOMMITTED" },
  { spec: "adopt", fault: "BEGIN_STALE" },
];

function run(command, args, folder) {
  return new Promise((resolve, reject) => {
    let output = "";
    const child = spawn(command, args, { cwd: folder });
    child.stdout.on("data", (chunk) => output += chunk);
    child.stderr.on("data", (chunk) => output += chunk);
    child.once("error", reject);
    child.once("close", () => resolve(output));
  });
}

async function check({ spec, fault, defines = [] }) {
  const folder = mkdtempSync(join(tmpdir(), "crowlever-spec-"));
  try {
    const flags = [...defines, ...(fault ? [fault] : [])].map((name) =>
      `-D${name}`
    );
    await run("spin", ["-a", ...flags, join(here, `${spec}.pml`)], folder);
    const optimize = ["-w", "-O1", "-DSAFETY", "-DCOLLAPSE", "-DMEMLIM=6000"];
    await run("gcc", [...optimize, "-o", "pan", "pan.c"], folder);
    const output = await run("./pan", ["-m5000000"], folder);
    const errors = Number(/errors: (\d+)/.exec(output)?.[1] ?? NaN);
    const states = Number(/(\d+) states, stored/.exec(output)?.[1] ?? NaN);
    const cut = /max search depth too small|out of memory|truncated/.test(
      output,
    );
    const holds = fault ? errors > 0 : errors === 0 && !cut;
    const name = [spec, ...defines, fault ? `fault ${fault}` : "as it stands"]
      .join(" ");
    const found = errors > 0 ? "broken" : cut ? "not exhausted" : "holds";
    process.stdout.write(
      `${holds ? "right" : "WRONG"}: ${name}: ${found}, ${states} states\n`,
    );
    return holds;
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

const quick = process.argv.includes("--quick");
const todo = CHECKS.filter((one) => !quick || !one.long);
let wrong = 0;
let done = 0;
async function work() {
  while (todo.length > 0) {
    if (!await check(todo.shift())) wrong += 1;
    done += 1;
  }
}
await Promise.all(Array.from({ length: PARALLEL }, work));
process.stdout.write(`${done - wrong} checks right, ${wrong} wrong\n`);
process.exit(wrong === 0 ? 0 : 1);
