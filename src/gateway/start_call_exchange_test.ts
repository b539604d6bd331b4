import { test } from "uvu";
import * as assert from "uvu/assert";
import { callerCodec } from "../../platform/codec.ts";
import { makeRoute } from "../../test/support/make_route.ts";
import type { ExchangeOptions } from "./create_upstream_transport.ts";
import { startCallExchange } from "./start_call_exchange.ts";
import type { Call, ServingContext } from "./types.ts";

/** Sends a call and gets the values of the priority header that its upstream gets. */
function listSentPriorities(
  ranks: Pick<Call, "rank" | "rankCount">,
): readonly string[] {
  const sent: string[] = [];
  const context = {
    codec: callerCodec,
    now: () => 0,
    notices: { beginSend: () => () => {} },
    reachability: { onCutOff: () => () => {} },
    upstreamTransport: {
      start({ headers, onEnd }: ExchangeOptions) {
        headers.forEach((value, at) => {
          if (headers[at - 1] === "x-request-priority") sent.push(value);
        });
        onEnd({ type: "complete" });
      },
    },
  } as unknown as ServingContext;
  const rawHeaders = ["X-Request-Priority", "0"];
  const call = {
    ...ranks,
    request: callerCodec.readRequest({
      method: "POST",
      target: "/x/",
      headers: {},
      rawHeaders,
    }),
    route: makeRoute(),
    service: "s",
    deadlineMs: 1_000,
  } as Call;
  startCallExchange(call, context, {
    engine: { engineId: "e", address: "e:1" },
    path: [],
    grant: { isValid: () => true, release: () => {} },
    lastEventId: undefined,
    onHead: () => {},
    onData: () => {},
    onEnd: () => {},
  });
  return sent;
}

test("upstreams learn the rank of a request where its service has several", () => {
  assert.equal(listSentPriorities({ rank: 0, rankCount: 2 }), ["0"]);
  assert.equal(listSentPriorities({ rank: 1, rankCount: 2 }), ["1"]);
  // The header has a single digit.
  assert.equal(listSentPriorities({ rank: 14, rankCount: 20 }), ["9"]);
});

test("no priority is sent for a service with one, nor the caller's own", () => {
  assert.equal(listSentPriorities({ rank: 0, rankCount: 1 }), []);
  assert.equal(listSentPriorities({ rank: 0, rankCount: 0 }), []);
});

test.run();
