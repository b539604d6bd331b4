/**
 * Guards against calls that are ended because the peer that serves them is in doubt.
 * Whether they run elsewhere is not decided here.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { createHeldBytes } from "./create_held_bytes.ts";
import { startForwardedExchange } from "./start_forwarded_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** Long enough for several checks of the peer. */
const CHECKS_MS = 350;

const CALL = {
  request: { requestId: "r", method: "POST", target: "/" },
  service: "s",
  body: null,
  deadlineMs: 10_000,
  response: { writableEnded: false },
} as unknown as Call;

/** Runs a call at a peer for a while; returns the doubts and how it was ended. */
async function play(peer: { isListed: boolean; silenceMs: number }) {
  const doubts: string[] = [];
  const aborts: string[] = [];
  let end = () => {};
  const context = {
    vm: "g1",
    peers: {
      beginRequest: () => () => {},
      isListed: () => peer.isListed,
      leaveOut: () => {},
    },
    peerTransport: {
      start(
        { onEnd }: Parameters<ServingContext["peerTransport"]["start"]>[0],
      ) {
        end = () => onEnd({ type: "broken", reason: "test" });
        return { abort: (reason: string) => void aborts.push(reason) };
      },
    },
    heldBytes: createHeldBytes({ maxBytes: 1_000 }),
    codec: { formatPeerHeaders: () => [] },
    metrics: { count: () => {} },
    log: () => {},
    now: () => 0,
  } as unknown as ServingContext;
  startForwardedExchange(CALL, context, {
    peer: { vm: "g2", place: "p1", address: "g2:80", isReady: true },
    lastEventId: undefined,
    onDoubt: (reason) => void doubts.push(reason),
    getSilenceMs: () => peer.silenceMs,
    onEnd: () => {},
  });
  await sleep(CHECKS_MS);
  end();
  const doubtsAtEnd = doubts.length;
  await sleep(CHECKS_MS);
  assert.is(doubts.length, doubtsAtEnd);
  return { doubts, aborts };
}

test("a call at a peer that is silent goes on, and the doubt is told", async () => {
  const { doubts, aborts } = await play({ isListed: true, silenceMs: 60_000 });
  assert.equal([...new Set(doubts)], ["peer is silent"]);
  assert.equal(aborts, []);
});

test("a call at a peer that is no longer listed goes on, and the doubt is told", async () => {
  const { doubts, aborts } = await play({ isListed: false, silenceMs: 0 });
  assert.equal([...new Set(doubts)], ["peer is no longer listed"]);
  assert.equal(aborts, []);
});

test("nothing is told of a peer without doubt", async () => {
  const { doubts } = await play({ isListed: true, silenceMs: 0 });
  assert.equal(doubts, []);
});

test.run();
