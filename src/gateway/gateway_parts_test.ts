import { Buffer } from "node:buffer";
import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createRetryLender } from "../fleet/index.ts";
import { createConfigLease } from "./create_config_lease.ts";
import { getDrainAdmissionMs } from "./get_drain_admission_ms.ts";
import { createGatewayRetryBudget } from "./create_gateway_retry_budget.ts";
import { createEventSplitter } from "./split_events.ts";

test("events are complete however the stream is split into chunks", () => {
  const text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: none\n\n";
  const bytes = Buffer.from(text);
  fc.assert(
    fc.property(
      fc.array(fc.integer({ min: 0, max: bytes.length })),
      (cuts) => {
        const splitter = createEventSplitter();
        const at = [0, ...cuts.sort((a, b) => a - b), bytes.length];
        const events = at.slice(1).flatMap((end, index) =>
          splitter.push(bytes.subarray(at[index], end))
        );
        assert.equal(events.map(({ id }) => id), ["1", "2", undefined]);
        assert.is(Buffer.concat(events.map((e) => e.bytes)).toString(), text);
        return !splitter.hasPartialEvent();
      },
    ),
    { seed: 1 },
  );
});

test("an incomplete event is buffered", () => {
  const splitter = createEventSplitter();
  assert.equal(splitter.push(Buffer.from("id: 1\ndata: a\n")), []);
  assert.ok(splitter.hasPartialEvent());
});

test("the lease ends before a key revoked after its query must be rejected", () => {
  let nowMs = 0;
  const lease = createConfigLease({ revokeMs: 5_000, now: () => nowMs });
  assert.not.ok(lease.isValid());
  lease.confirm({ sentMs: 1_000, version: 7, held: 7 });
  nowMs = 1_000 + 5_000;
  assert.not.ok(lease.isValid());
  nowMs = 1_000 + 4_000;
  assert.ok(lease.isValid());
});

test("a confirmation of a version that is not in force here does not renew the lease", () => {
  const lease = createConfigLease({ revokeMs: 5_000, now: () => 0 });
  lease.confirm({ sentMs: 0, version: 8, held: 7 });
  assert.not.ok(lease.isValid());
});

test("the retries of all gateways together stay within the bound, also once all have restarted", async () => {
  const ceilings = new Map<string, number>();
  const limits = { ratio: 0.2, extra: 110, windowMs: 10_000, now: () => 0 };
  const lender = createRetryLender({
    ...limits,
    getCeilings: () => ceilings,
    propose(command) {
      if (command.type === "retryCeilings") {
        command.ceilings.forEach(([name, most]) => ceilings.set(name, most));
      }
      return Promise.resolve();
    },
    hasLease: () => true,
    log: () => {},
  });
  lender.beginTerm();

  /** Retries that a process sends which has received 50 requests. */
  async function runProcess(holder: string): Promise<number> {
    const budget = createGatewayRetryBudget(limits);
    budget.beginSession({ isNewLeader: true });
    for (let at = 0; at < 50; at++) budget.noteRequest("s");
    let spent = 0;
    for (let needed = 0; needed < 40; needed++) {
      while (budget.spend("s")) spent += 1;
      const counts = await lender.handleReports(holder, budget.takeReports());
      budget.addLoan({ counts, askedMs: 0 });
    }
    return spent;
  }

  let spent = 0;
  for (let at = 0; at < 11; at++) spent += await runProcess(`vm-${at}/first`);
  const bound = 0.2 * 11 * 50 + 110;
  assert.ok(spent > bound / 2 && spent <= bound, String(spent));
  for (let at = 0; at < 11; at++) spent += await runProcess(`vm-${at}/second`);
  assert.ok(spent <= bound + 0.2 * 11 * 50, String(spent));
});

test("a stopping gateway admits no call that may outlast its grace period", () => {
  assert.ok(getDrainAdmissionMs(8_000) < 3_000);
  assert.is(getDrainAdmissionMs(1_000), 400);
});

test.run();
