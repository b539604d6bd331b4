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

// A caller that does as docs/CALLERS.md says: keeps the answer for its time
// to live, then asks again, at any entry that it knows.
function createCaller(addresses: readonly string[], ttlMs: number) {
  let known = [...addresses];
  let askedMs = -Infinity;
  return async (): Promise<string> => {
    if (performance.now() - askedMs > ttlMs) {
      for (const address of known) {
        const listed = await listEntries(new URL(address).host, "drafting")
          .catch(() => []);
        if (listed.length === 0) continue;
        known = listed.map((entry) => entry.address);
        break;
      }
      askedMs = performance.now();
    }
    return known[0];
  };
}

test("a planned stop under load cuts no request and ends with 0", async () => {
  await using trial = await startTrial({ entries: 3, stepMs: 5 });
  const addresses = trial.entries.map((entry) => entry.address);
  let stopped = false;
  let wrong = 0;
  let done = 0;
  const callers = Array.from({ length: 12 }, async (_v, at) => {
    const choose = createCaller(addresses, 500);
    for (let count = 0; !stopped; count++) {
      const address = await choose();
      const prompt = `Caller ${at} asks ${count}`;
      const answer = count % 2 === 0
        ? await complete(address, { prompt, tokens: 12, stream: true })
        : await send(`${address}/services/dashboard/c/${at}/${count}`);
      const right = count % 2 === 0
        ? readText(answer) === expectText(prompt, 12)
        : answer.headers["crowlever-outcome"] === "done";
      if (right) done += 1;
      else wrong += 1;
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
  assert.is(wrong, 0);
  // How many were done depends on the machine; that some were in flight at
  // the entry when it was told to stop does not.
  assert.ok(done >= 24);
  assert.match(first.getLog(), /CL1002 .*inFlight=[1-9]/);
  assert.match(first.getLog(), /CL1004/);
});

for (const role of ["entries", "controls"] as const) {
  test(`a connection on which nothing was asked doesn't keep a program from its planned stop: ${role}`, async () => {
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
      await until("it has ended", () => code !== undefined);
    } finally {
      socket.destroy();
    }
    assert.is(code, 0);
  });
}

test.run();
