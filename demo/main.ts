/**
 * The demo: launches a fleet of real processes, applies a configuration and sends
 * requests.
 *
 * @module
 */

import process from "node:process";
import {
  computeAnswer,
  startEngine,
  startPlainService,
  startPlatform,
} from "../standins/index.ts";
import { applyTrial } from "./apply_trial.ts";
import { launchFleet } from "./launch_fleet.ts";
import { send } from "./send_request.ts";
import { getTrialResources, LAYER_COUNT } from "./trial_resources.ts";

const PROMPT = "Pallet 7 stood at 11 degrees for 40 minutes";
const TOKENS = 8;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function check(what: string, holds: boolean): void {
  print(`  ${holds ? "right" : "WRONG"}: ${what}`);
  if (!holds) process.exitCode = 1;
}

async function run(): Promise<void> {
  await using platform = await startPlatform();
  const engines = await Promise.all(
    [0, 1, 2].map(() => startEngine({ layerCount: LAYER_COUNT })),
  );
  await using plain = await startPlainService({ name: "dashboard" });
  print("Starting 3 control and 3 entry processes");
  await using fleet = await launchFleet({ platformListUrl: platform.address });
  const resources = getTrialResources({
    stages: engines.map((engine) => [engine.address]),
    plain: [plain.address],
  });
  const { applied, entries } = await applyTrial(fleet, resources, {
    service: "drafting",
  });
  for (const { kind, name, result, revision } of applied) {
    print(`  ${kind}/${name} ${result} at revision ${revision}`);
  }
  print(`Entries to use: ${entries.map((entry) => entry.vm).join(", ")}`);
  check("all three entries are named", entries.length === 3);
  const base = entries[0].address;

  print("A streamed answer over three stages");
  const streamed = await send(`${base}/v1/completions`, {
    method: "POST",
    body: JSON.stringify({
      model: "drafting",
      prompt: PROMPT,
      max_tokens: TOKENS,
      stream: true,
    }),
  });
  const tokens = [...streamed.text.matchAll(/"text":"([^"]*)"/g)]
    .map((match) => match[1]).join("");
  const expected = computeAnswer(PROMPT, {
    layerCount: LAYER_COUNT,
    tokens: TOKENS,
  });
  const requestId = String(streamed.headers["crowlever-request-id"]);
  const trace = await send(`${base}/v1/requests/${requestId}`);
  print(`  answer:${tokens}`);
  print(`  outcome: ${streamed.trailers["crowlever-outcome"]}`);
  print(`  path: ${JSON.parse(trace.text).steps[0].what}`);
  check("every layer ran once for each token, in order", tokens === expected);

  print("A plain call");
  const called = await send(`${base}/services/dashboard/readings/7`);
  print(`  answer: ${called.text}`);
  print(`  outcome: ${called.headers["crowlever-outcome"]}`);
  print(`  path: ${called.headers["crowlever-path"]}`);
  check("it was answered", called.status === 200);

  print("A call that must not run twice, sent to two entries");
  const once = {
    method: "POST" as const,
    body: JSON.stringify({ claim: 7 }),
    headers: {
      "content-type": "application/json",
      "crowlever-repeatable": "false",
      "idempotency-key": "claim-7",
    },
  };
  for (const entry of entries.slice(0, 2)) {
    const answer = await send(
      `${entry.address}/services/dashboard/claims`,
      once,
    );
    const replayed = answer.headers["crowlever-replayed"] ?? "false";
    print(`  ${entry.vm}: ${answer.text}`);
    print(
      `  outcome: ${answer.headers["crowlever-outcome"]}, kept: ${replayed}`,
    );
  }
  check("it ran once", plain.getRuns("/claims") === 1);
  for (const engine of engines) await engine[Symbol.asyncDispose]();
}

await run();
print(process.exitCode ? "The demo failed" : "All answers were right");
