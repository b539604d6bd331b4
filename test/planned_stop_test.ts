import { test } from "uvu";
import * as assert from "uvu/assert";
import { setTimeout as sleep } from "node:timers/promises";
import { once } from "node:events";
import { connect } from "node:net";
import { listEntries } from "../demo/apply_trial.ts";
import { launchFleet } from "../demo/launch_fleet.ts";
import { until } from "../demo/until.ts";
import {
  complete,
  expectText,
  readText,
  send,
  startTrial,
} from "./support/trial.ts";

// Chooses an entry as docs/CALLERS.md describes: caches the list of entries for its
// time to live, then requests it again from any known entry.
function createCaller(addresses: readonly string[], ttlMs: number) {
  let known = [...addresses];
  let listedMs = -Infinity;
  return async (): Promise<string> => {
    if (performance.now() - listedMs > ttlMs) {
      for (const address of known) {
        const listed = await listEntries(new URL(address).host, "drafting")
          .catch(() => []);
        if (listed.length === 0) continue;
        known = listed.map((entry) => entry.address);
        break;
      }
      listedMs = performance.now();
    }
    return known[0];
  };
}

test("a planned stop under load aborts no request and exits with 0", async () => {
  await using trial = await startTrial({ entries: 3, stepMs: 5 });
  const addresses = trial.entries.map((entry) => entry.address);
  let stopped = false;
  let failedCount = 0;
  let doneCount = 0;
  const callers = Array.from({ length: 12 }, async (_v, at) => {
    const chooseEntry = createCaller(addresses, 500);
    for (let count = 0; !stopped; count++) {
      const address = await chooseEntry();
      const prompt = `Caller ${at} asks ${count}`;
      const answer = count % 2 === 0
        ? await complete(address, { prompt, tokens: 12, stream: true })
        : await send(`${address}/services/dashboard/c/${at}/${count}`);
      const isCorrect = count % 2 === 0
        ? readText(answer) === expectText(prompt, 12)
        : answer.headers["crowlever-outcome"] === "done";
      if (isCorrect) doneCount += 1;
      else failedCount += 1;
    }
  });
  await sleep(500);
  const first = trial.fleet.entries.find((entry) =>
    addresses[0].endsWith(entry.address)
  );
  assert.ok(first);
  first.kill("SIGTERM");
  await sleep(50);
  first.kill("SIGTERM");
  const code = await first.ended();
  await sleep(300);
  stopped = true;
  await Promise.all(callers);
  assert.is(code, 0);
  assert.is(failedCount, 0);
  // The number of completed requests depends on the machine; that some were in flight
  // at the entry when it received SIGTERM does not.
  assert.ok(doneCount >= 24);
  assert.match(first.getLog(), /CL1002 .*inFlight=[1-9]/);
  assert.match(first.getLog(), /CL1004/);
});

for (const role of ["entries", "controls"] as const) {
  test(`an idle connection doesn't prevent a planned stop: ${role}`, async () => {
    await using fleet = await launchFleet({ controls: 1, entries: 1 });
    const [program] = fleet[role];
    const [host, port] = program.address.split(":");
    const socket = connect({ host, port: Number(port) });
    socket.on("error", () => {});
    await once(socket, "connect");
    let code: number | null | undefined;
    program.kill("SIGTERM");
    void program.ended().then((ended) => code = ended);
    try {
      await until("the process has exited", () => code !== undefined);
    } finally {
      socket.destroy();
    }
    assert.is(code, 0);
  });
}

test.run();
