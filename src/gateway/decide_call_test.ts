import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeRoute } from "../../test/support/make_route.ts";
import { createRouteTable } from "../routes/index.ts";
import { decideCall, type DecideCallOptions } from "./decide_call.ts";

const TABLE = createRouteTable({
  version: 1,
  routes: [
    makeRoute(),
    makeRoute({ pathPrefix: "/open/", isAnonymous: true }),
  ],
  services: [{ name: "s", maxConnections: 1 }],
  accounts: [{ name: "one", keys: ["k"] }],
  limits: {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  },
});

function decide(
  request: { path?: string; key?: string },
  options: Partial<DecideCallOptions> = {},
): string {
  const decision = decideCall(
    { host: "a.example", path: "/x/1", key: undefined, ...request },
    {
      table: TABLE,
      knowsEngines: true,
      isTrusted: true,
      isDraining: false,
      random: 0,
      ...options,
    },
  );
  if (decision.type === "serve") {
    return `serve ${decision.call.account?.name ?? "anybody"}`;
  }
  const { status, reason, retryAfterMs } = decision.refusal;
  assert.is(status === 503, retryAfterMs !== undefined);
  return `${status} ${reason}`;
}

test("a known key is served, an unknown or missing one refused", () => {
  assert.is(decide({ key: "k" }), "serve one");
  assert.is(decide({ key: "other" }), "401 unknown_key");
  assert.is(decide({}), "401 unknown_key");
  assert.is(decide({ path: "/open/1" }), "serve anybody");
  assert.is(decide({ path: "/none/1", key: "k" }), "404 not_found");
});

test("without a lease no route or key is reported as unknown, and no key is accepted", () => {
  const stale = { isTrusted: false };
  assert.is(decide({ key: "k" }, stale), "503 stale_config");
  assert.is(decide({ key: "other" }, stale), "503 stale_config");
  assert.is(decide({ path: "/none/1" }, stale), "503 stale_config");
  assert.is(decide({ path: "/open/1" }, stale), "serve anybody");
});

test("all requests are refused before the first configuration and while draining", () => {
  assert.is(decide({ key: "k" }, { table: undefined }), "503 no_config");
  assert.is(decide({ key: "k" }, { knowsEngines: false }), "503 no_config");
  assert.is(decide({ key: "k" }, { isDraining: true }), "503 leaving");
});

test.run();
