import { test } from "uvu";
import * as assert from "uvu/assert";
import { callerCodec } from "../../platform/codec.ts";
import { makeRoute } from "../../test/support/make_route.ts";
import type {
  ExchangeEnd,
  ExchangeOptions,
} from "./create_upstream_transport.ts";
import type { UpstreamHead } from "./protocol.ts";
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

/** Ends an answer without a length, and gets how the exchange ends. */
async function endUnframedAnswer(
  { isRefusing }: { readonly isRefusing: boolean },
): Promise<ExchangeEnd> {
  const head = { endsWithConnection: true, reportsNotRun: false };
  const context = {
    codec: callerCodec,
    now: () => 0,
    notices: { beginSend: () => () => {} },
    reachability: { onCutOff: () => () => {}, noteReceived: () => {} },
    // No other upstream can be reached, so a refusal proves no crash.
    livenessCheck: {
      check: () => Promise.resolve(isRefusing ? "unknown" : "listening"),
      refusesConnections: () => Promise.resolve(isRefusing),
    },
    upstreamTransport: {
      start({ onHead, onEnd }: ExchangeOptions) {
        queueMicrotask(() => {
          onHead(head as UpstreamHead);
          onEnd({ type: "complete" });
        });
      },
    },
  } as unknown as ServingContext;
  const call = {
    rank: 0,
    rankCount: 0,
    request: callerCodec.readRequest({
      method: "POST",
      target: "/x/",
      headers: {},
      rawHeaders: [],
    }),
    route: makeRoute(),
    service: "s",
    deadlineMs: 1_000,
  } as unknown as Call;
  return await new Promise((resolve) =>
    startCallExchange(call, context, {
      engine: { engineId: "e", address: "e:1" },
      path: [],
      grant: { isValid: () => true, release: () => {} },
      lastEventId: undefined,
      onHead: () => {},
      onData: () => {},
      onEnd: resolve,
    })
  );
}

// Guards against a part of an answer that is passed on as whole when the last upstream
// that could be reached has crashed.
test("an answer without a length is broken if its upstream refuses connections, though no other is reached", async () => {
  const broken = await endUnframedAnswer({ isRefusing: true });
  assert.is(broken.type, "broken");
  const whole = await endUnframedAnswer({ isRefusing: false });
  assert.is(whole.type, "complete");
});

test.run();
