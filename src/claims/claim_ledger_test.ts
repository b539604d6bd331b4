import { test } from "uvu";
import * as assert from "uvu/assert";
import { beginClaim, createClaimLedger, endClaim, peekClaim } from "./index.ts";
import type { ClaimBeginCommand, ClaimEndState } from "./types.ts";

function makeBegin(
  overrides: Partial<ClaimBeginCommand> = {},
): ClaimBeginCommand {
  return {
    type: "claimBegin",
    clientAccount: "dock",
    key: "claim-7",
    requestHash: "hash",
    holder: "entry-1/a/1",
    nowMs: 0,
    ...overrides,
  };
}

function makeEnd(outcome: ClaimEndState["outcome"], holder = "entry-1/a/1") {
  const end = { outcome, status: 200, contentType: "", body: "ok" };
  const { clientAccount, key } = makeBegin();
  return { type: "claimEnd", clientAccount, key, holder, end } as const;
}

test("an empty ledger grants the first claim and denies the second", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  assert.is(beginClaim(ledger, makeBegin()).verdict, "granted");
  assert.is(beginClaim(ledger, makeBegin()).verdict, "running");
  const other = makeBegin({ holder: "entry-2/b/1" });
  assert.is(beginClaim(ledger, other).verdict, "running");
});

test("a claim whose request did not run is granted again", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  assert.ok(endClaim(ledger, makeEnd("not_run")));
  assert.is(beginClaim(ledger, makeBegin()).verdict, "granted");
});

test("a claim with an unknown outcome is never granted again", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  endClaim(ledger, makeEnd("unknown"));
  assert.is(beginClaim(ledger, makeBegin()).verdict, "ended");
  assert.not(endClaim(ledger, makeEnd("not_run")));
});

// Found by the model check (ONE_HOLDER): when a second attempt at the same entry was
// abandoned, it released the claim under which the first attempt was still running.
test("abandoning an attempt does not release the claim of another at that entry", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin({ holder: "entry-1/a/1" }));
  assert.not(endClaim(ledger, makeEnd("not_run", "entry-1/a/2")));
  assert.is(beginClaim(ledger, makeBegin()).verdict, "running");
});

test("reusing a key for a different request is a mismatch", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  const other = makeBegin({ requestHash: "another" });
  assert.is(peekClaim(ledger, other).verdict, "mismatch");
});

test("a claim is evicted only after its retention window", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  endClaim(ledger, makeEnd("done"));
  assert.is(beginClaim(ledger, makeBegin({ nowMs: 999 })).verdict, "ended");
  assert.is(beginClaim(ledger, makeBegin({ nowMs: 1_000 })).verdict, "granted");
});

test.run();
