import { test } from "uvu";
import * as assert from "uvu/assert";
import { shareConnections } from "./share_connections.ts";

test("the servers of a gateway leave descriptors for connections to upstreams", () => {
  const { callers, directory, readiness, metrics } = shareConnections(4_100);
  const left = 4_100 - 200 - callers - directory - readiness - metrics;
  assert.is(callers, 1_755);
  assert.ok(left > 1_500);
});

test("every server accepts a connection, however few descriptors there are", () => {
  assert.ok(Object.values(shareConnections(10)).every((count) => count === 1));
});

test.run();
