import { test } from "uvu";
import * as assert from "uvu/assert";
import { request } from "undici";
import { applyTrial } from "../demo/apply_trial.ts";
import { launchFleet } from "../demo/launch_fleet.ts";
import {
  ACCOUNT_KEY,
  getTrialResources,
  LAYER_COUNT,
} from "../demo/trial_resources.ts";
import {
  computeAnswer,
  startEngine,
  startPlainService,
} from "../standins/index.ts";

const authorization = `Bearer ${ACCOUNT_KEY}`;

test("a fleet of processes answers every request in full", async () => {
  await using first = await startEngine({ layerCount: LAYER_COUNT });
  await using second = await startEngine({ layerCount: LAYER_COUNT });
  await using plain = await startPlainService();
  await using fleet = await launchFleet();
  const stages = [[first.address], [second.address]];
  const resources = getTrialResources({ stages, plain: [plain.address] });
  const { entries } = await applyTrial(fleet, resources, {
    service: "drafting",
  });
  const prompts = Array.from({ length: 30 }, (_v, at) => `Pallet ${at} warm`);
  await Promise.all(prompts.map(async (prompt, at) => {
    const response = await request(
      `${entries[at % entries.length].address}/v1/completions`,
      {
        method: "POST",
        headers: { authorization },
        body: JSON.stringify({ model: "drafting", prompt, max_tokens: 6 }),
      },
    );
    const body = await response.body.json() as {
      choices: { text: string }[];
    };
    const expected = computeAnswer(prompt, {
      layerCount: LAYER_COUNT,
      tokens: 6,
    });
    const details = JSON.stringify({ headers: response.headers, body });
    assert.is(response.headers["crowlever-outcome"], "done", details);
    assert.is(body.choices[0].text, expected);
  }));
  for (let at = 0; at < 20; at++) {
    const { address } = entries[at % entries.length];
    const response = await request(`${address}/services/dashboard/r/${at}`, {
      headers: { authorization },
    });
    await response.body.dump();
    assert.is(response.headers["crowlever-outcome"], "done");
    assert.is(plain.getRuns(`/r/${at}`), 1);
  }
});

test.run();
