import { suite } from "uvu";
import * as assert from "uvu/assert";
import { setTimeout as sleep } from "node:timers/promises";
import type { Engine } from "../standins/index.ts";
import {
  complete,
  expectText,
  readCounters,
  readText,
  send,
  startTrial,
  type Trial,
} from "./support/trial.ts";

const TOKENS = 24;

const test = suite<{ trial: Trial }>("pipeline faults");

test.before(async (context) => {
  context.trial = await startTrial({ stepMs: 4 });
});

test.after(async ({ trial }) => {
  await trial[Symbol.asyncDispose]();
});

test.after.each(({ trial }) => {
  for (const engine of trial.engines.flat()) {
    Object.assign(engine.fault, {
      frozen: false,
      cutting: false,
      delayMs: 0,
    });
  }
});

// Injects a fault into the engine of the second stage that runs the request; the other
// engines of the stage are left to continue with.
async function completeWithFault(
  trial: Trial,
  options: {
    prompt: string;
    afterMs: number;
    injectFault: (engine: Engine) => void;
  },
): Promise<void> {
  const { prompt, afterMs, injectFault } = options;
  const running = complete(trial.entries[0].address, {
    prompt,
    tokens: TOKENS,
    stream: true,
  });
  await sleep(afterMs);
  const busy = trial.engines[1].find((engine) => engine.getCaches() > 0);
  injectFault(busy ?? trial.engines[1][0]);
  const answer = await running;
  assert.is(readText(answer), expectText(prompt, TOKENS));
  assert.is(answer.trailers["crowlever-outcome"], "done");
}

const FAULTS: Readonly<Record<string, (engine: Engine) => void>> = {
  "dies": (engine) => engine.fault.cutting = true,
  "freezes": (engine) => engine.fault.frozen = true,
  "answers late": (engine) => engine.fault.delayMs = 900,
};

for (const [name, injectFault] of Object.entries(FAULTS)) {
  for (
    const [when, afterMs] of [["at the prompt", 0], [
      "mid-stream",
      120,
    ]] as const
  ) {
    test(`the caller loses no token if a stage ${name} ${when}`, async ({ trial }) => {
      const prompt = `Stage ${name} ${when}`;
      await completeWithFault(trial, { prompt, afterMs, injectFault });
    });
  }
}

test("no token is lost if a stage crashes at the last tokens", async ({ trial }) => {
  for (let round = 0; round < 5; round++) {
    await completeWithFault(trial, {
      prompt: `Last tokens ${round}`,
      afterMs: TOKENS * 3 * 4 + round * 12,
      injectFault: (engine) => engine.fault.cutting = true,
    });
    for (const engine of trial.engines.flat()) engine.fault.cutting = false;
  }
});

test("all answers are complete while stages crash one after the other", async ({ trial }) => {
  const prompts = Array.from({ length: 40 }, (_v, at) => `Many ${at} here`);
  const running = Promise.all(
    prompts.map((prompt, at) =>
      complete(trial.entries[at % 2].address, { prompt, tokens: TOKENS })
    ),
  );
  for (const stage of trial.engines) {
    await sleep(60);
    stage[0].fault.cutting = true;
    await sleep(60);
    stage[0].fault.cutting = false;
  }
  const answers = await running;
  answers.forEach((answer, at) => {
    assert.is(answer.headers["crowlever-outcome"], "done");
    assert.is(readText(answer), expectText(prompts[at], TOKENS));
  });
});

test("a request is not done and has a retry-after header if no engine of a stage is left", async ({ trial }) => {
  for (const engine of trial.engines[2]) engine.fault.cutting = true;
  const first = await complete(trial.entries[0].address, {
    prompt: "Nobody there",
    tokens: 2,
  });
  assert.is.not(first.headers["crowlever-outcome"], "done");
  assert.is.not(first.headers["crowlever-outcome"], "not_run");
  assert.ok(first.headers["retry-after"]);
});

test("a caller that reconnects gets the remaining tokens, by a redirect at another entry", async ({ trial }) => {
  const prompt = "Come back later";
  const first = await complete(trial.entries[0].address, {
    prompt,
    tokens: TOKENS,
    stream: true,
  });
  const id = String(first.headers["crowlever-request-id"]);
  const headers = { "last-event-id": "10" };
  const here = await send(`${trial.entries[0].address}/v1/completions/${id}`, {
    headers,
  });
  assert.is(
    readText(here),
    expectText(prompt, TOKENS).split(" ").slice(11).map((word) => ` ${word}`)
      .join(""),
  );
  const there = await send(`${trial.entries[1].address}/v1/completions/${id}`, {
    headers,
  });
  assert.is(there.status, 307);
  assert.ok(
    String(there.headers.location).startsWith(trial.entries[0].address),
  );
});

test("the stages release their caches", async ({ trial }) => {
  await trial.fleet.until(
    "all caches are released",
    () => trial.engines.flat().every((engine) => engine.getCaches() === 0),
  );
});

test("repairs and the reasons of retries are counted", async ({ trial }) => {
  const counters = await readCounters(trial.entries[0].address);
  assert.ok(counters["pipeline.repairs"] >= 4);
  assert.ok(counters["retry.reset_before_answer"] >= 1);
  assert.ok(counters["retry.timeout"] >= 1);
  assert.is(counters["pipeline.invariant"], undefined);
});

test.run();
