import { test } from "uvu";
import * as assert from "uvu/assert";
import { classifyPeerAnswer } from "./classify_peer_answer.ts";
import { mayHaveBeenSent } from "./may_have_been_sent.ts";
import type { ExchangeEnd } from "./create_upstream_transport.ts";
import type { UpstreamHead } from "./protocol.ts";

const COMPLETE: ExchangeEnd = { type: "complete" };

function makeHead(fields: Partial<UpstreamHead>): UpstreamHead {
  return {
    status: 200,
    headers: [],
    requestId: "r",
    isSigned: false,
    endsWithConnection: false,
    isCoded: false,
    reportsNotRun: false,
    faultAddress: undefined,
    load: undefined,
    isLeaving: false,
    ...fields,
  };
}

function classify(fields: Partial<UpstreamHead>, error = "") {
  const text = JSON.stringify({ error });
  return classifyPeerAnswer({ how: COMPLETE, head: makeHead(fields), text });
}

test("an upstream's answer is passed on, whatever its status", () => {
  assert.equal(classify({ isSigned: true }), { type: "answered" });
  assert.is(classify({ isSigned: true, status: 500 }).type, "answered");
  assert.is(classify({ isSigned: true, status: 404 }).type, "answered");
});

test("a peer with another configuration does not answer for this gateway", () => {
  for (const status of [401, 403, 404]) {
    assert.is(classify({ status }, "not_found").type, "notTaken");
  }
});

test("a refusal that concerns the peer leaves the request to another peer", () => {
  for (const reason of ["cut_off", "leaving", "no_config", "stale_config"]) {
    assert.equal(classify({ status: 503 }, reason), {
      type: "notTaken",
      reason,
      wasSent: false,
    });
  }
});

test("a refusal that concerns the service is passed on with its time", () => {
  const meaning = classify({ status: 503, backOffMs: 700 }, "no_upstream");
  assert.equal(meaning, {
    type: "refused",
    retryAfterMs: 700,
    wasSent: false,
  });
});

test("a peer's own failure, or a broken exchange, leaves open whether it ran", () => {
  assert.is(classify({ status: 502 }, "outcome_unknown").type, "unknown");
  assert.is(classify({ status: 200 }).type, "unknown");
  const how: ExchangeEnd = { type: "broken", reason: "reset" };
  assert.equal(classifyPeerAnswer({ how, head: undefined, text: "" }), {
    type: "unknown",
    reason: "reset",
  });
});

test("nothing was sent to a peer that can't be reached", () => {
  const how: ExchangeEnd = { type: "notSent", reason: "no connection" };
  const meaning = classifyPeerAnswer({ how, head: undefined, text: "" });
  assert.is(meaning.type, "notTaken");
});

test("a request that a peer's upstream rejected was sent, so that the next attempt is charged", () => {
  const rejected = classify({
    isSigned: true,
    status: 503,
    reportsNotRun: true,
  });
  assert.is(rejected.type, "notTaken");
  assert.ok(mayHaveBeenSent(rejected));
  for (const error of ["cut_off", "no_upstream"]) {
    const text = JSON.stringify({ error, sent: true });
    const head = makeHead({ status: 503 });
    const meaning = classifyPeerAnswer({ how: COMPLETE, head, text });
    assert.ok(mayHaveBeenSent(meaning), error);
    assert.not(mayHaveBeenSent(classify({ status: 503 }, error)), error);
  }
});

test.run();
