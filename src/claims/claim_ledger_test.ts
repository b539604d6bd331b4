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

test("an empty ledger grants the first claim and no second", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  assert.is(beginClaim(ledger, makeBegin()).verdict, "granted");
  assert.is(beginClaim(ledger, makeBegin()).verdict, "running");
  const other = makeBegin({ holder: "entry-2/b/1" });
  assert.is(beginClaim(ledger, other).verdict, "running");
});

test("a claim that surely did not run is granted again", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  assert.ok(endClaim(ledger, makeEnd("not_run")));
  assert.is(beginClaim(ledger, makeBegin()).verdict, "granted");
});

test("a claim whose end is unknown is never granted again", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  endClaim(ledger, makeEnd("unknown"));
  assert.is(beginClaim(ledger, makeBegin()).verdict, "ended");
  assert.not(endClaim(ledger, makeEnd("not_run")));
});

// Found by the model check (ONE_HOLDER): a second attempt at the same entry
// that was given up gave back the claim under which the first one ran.
test("giving up one attempt does not free another of the same entry", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin({ holder: "entry-1/a/1" }));
  assert.not(endClaim(ledger, makeEnd("not_run", "entry-1/a/2")));
  assert.is(beginClaim(ledger, makeBegin()).verdict, "running");
});

test("the same key for another request is a mismatch", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  const other = makeBegin({ requestHash: "another" });
  assert.is(peekClaim(ledger, other).verdict, "mismatch");
});

test("a claim is forgotten only when its window has passed", () => {
  const ledger = createClaimLedger({ windowMs: 1_000 });
  beginClaim(ledger, makeBegin());
  endClaim(ledger, makeEnd("done"));
  assert.is(beginClaim(ledger, makeBegin({ nowMs: 999 })).verdict, "ended");
  assert.is(beginClaim(ledger, makeBegin({ nowMs: 1_000 })).verdict, "granted");
});

test.run();
