/**
 * Guards against calls that are ended because the peer that serves them is in doubt,
 * though they may run nowhere else.
 */

import { setTimeout as sleep } from "node:timers/promises";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { startForwardedExchange } from "./start_forwarded_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** Long enough for several checks of the peer. */
const CHECKS_MS = 350;

const CALL = {
  request: { requestId: "r", method: "POST", target: "/" },
  service: "s",
  body: null,
  deadlineMs: 10_000,
} as unknown as Call;

/** Starts a call at a peer that is silent and no longer listed. */
async function play(mayLeave: boolean): Promise<readonly string[]> {
  const aborts: string[] = [];
  let end = () => {};
  const context = {
    vm: "g1",
    peers: {
      beginRequest: () => () => {},
      isListed: () => false,
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
    codec: { formatPeerHeaders: () => [] },
    metrics: { count: () => {} },
    log: () => {},
    now: () => 0,
  } as unknown as ServingContext;
  startForwardedExchange(CALL, context, {
    peer: { vm: "g2", place: "p1", address: "g2:80", isReady: true },
    lastEventId: undefined,
    mayLeave: () => mayLeave,
    getSilenceMs: () => 60_000,
    onEnd: () => {},
  });
  await sleep(CHECKS_MS);
  end();
  return aborts;
}

test("a call stays at a peer in doubt if it may run nowhere else", async () => {
  assert.equal(await play(false), []);
});

test("a call leaves a peer in doubt if it may run elsewhere", async () => {
  const [reason] = await play(true);
  assert.is(reason, "peer is no longer listed");
});

test.run();
