import { test } from "uvu";
import * as assert from "uvu/assert";
import type { FleetCommand } from "./create_fleet_state_machine.ts";
import { createRetryLender } from "./create_retry_lender.ts";

const SERVICE = "model";
const EXTRA = 100;

/** Leaders in turn that share the ceilings in the log of the quorum. */
function makeQuorum() {
  const clock = { ms: 0 };
  const ceilings = new Map<string, number>();
  const state = { hasQuorum: true, hasLease: true };
  const log: string[] = [];

  function propose(command: FleetCommand): Promise<void> {
    if (!state.hasQuorum) return Promise.reject(new Error("no quorum"));
    if (command.type !== "retryCeilings") throw new Error(command.type);
    for (const [service, ceiling] of command.ceilings) {
      ceilings.set(service, ceiling);
    }
    return Promise.resolve();
  }

  function startLeader() {
    const lender = createRetryLender({
      ratio: 0.2,
      extra: EXTRA,
      windowMs: 10_000,
      getCeilings: () => ceilings,
      propose,
      hasLease: () => state.hasLease,
      now: () => clock.ms,
      log: (event) => void log.push(event),
    });
    const ask = async (
      fields: { readonly needed?: number; readonly spare?: number },
      holder = "vm-1/a",
    ) => (await lender.handleReports(holder, { [SERVICE]: fields }))[SERVICE];
    return { lender, ask };
  }

  return { clock, ceilings, state, log, startLeader };
}

test("one gateway is lent nine tenths of what is allowed if no other needs any", async () => {
  const { startLeader } = makeQuorum();
  const { lender, ask } = startLeader();
  lender.beginTerm();
  const count = await ask({ needed: 2 * EXTRA });
  assert.ok(count >= 0.9 * EXTRA && count <= EXTRA, `${count}`);
  assert.is(await ask({ needed: 1 }, "vm-2/a"), 0);
});

test("spare retries are lent only while most of the limit is unused", async () => {
  const { startLeader } = makeQuorum();
  const { lender, ask } = startLeader();
  lender.beginTerm();
  let spare = 0;
  for (let vm = 0; vm < EXTRA; vm++) {
    spare += await ask({ spare: 3 }, `vm-${vm}/a`);
  }
  assert.ok(spare <= 0.5 * EXTRA, `${spare}`);
  assert.ok(await ask({ needed: 40 }) > 30);
});

test("the next leader counts what this one may have lent, however it ended", async () => {
  const { clock, startLeader } = makeQuorum();
  const first = startLeader();
  first.lender.beginTerm();
  const before = await first.ask({ needed: 50 });
  const second = startLeader();
  second.lender.beginTerm();
  const after = await second.ask({ needed: EXTRA });
  assert.ok(after > 0 && before + after <= EXTRA, `${before} and ${after}`);
  clock.ms += 15_000;
  assert.ok(await second.ask({ needed: EXTRA }) > after);
});

test("nothing is lent that the quorum has not recorded", async () => {
  const { state, log, startLeader } = makeQuorum();
  const { lender, ask } = startLeader();
  lender.beginTerm();
  state.hasQuorum = false;
  assert.is(await ask({ needed: 4 }), 0);
  assert.ok(log.includes("retryCeilingsNotRecorded"));
  state.hasQuorum = true;
  assert.is(await ask({ needed: 4 }), 4);
});

test("nothing is lent before the state of earlier leaders is known, nor without a lease", async () => {
  const { state, startLeader } = makeQuorum();
  const { lender, ask } = startLeader();
  assert.is(await ask({ needed: 4 }), undefined);
  lender.beginTerm();
  state.hasLease = false;
  assert.is(await ask({ needed: 4 }), 0);
  state.hasLease = true;
  assert.is(await ask({ needed: 4 }), 4);
});

test("a ceiling is lowered once what it stands for has expired", async () => {
  const { clock, ceilings, startLeader } = makeQuorum();
  const { lender, ask } = startLeader();
  lender.beginTerm();
  await ask({ needed: EXTRA });
  assert.ok((ceilings.get(SERVICE) ?? 0) >= 0.9 * EXTRA);
  clock.ms += 15_000;
  lender.tick();
  await new Promise(setImmediate);
  assert.is(ceilings.get(SERVICE), 0);
});

test("a lower ceiling binds while it is still proposed", async () => {
  const { clock, ceilings, startLeader } = makeQuorum();
  const { lender, ask } = startLeader();
  lender.beginTerm();
  await ask({ needed: EXTRA });
  clock.ms += 15_000;
  lender.tick();
  // The proposal of the lower ceiling is not committed yet.
  const count = await ask({ needed: 60 });
  assert.ok(count <= (ceilings.get(SERVICE) ?? 0), `${count}`);
});

test.run();
