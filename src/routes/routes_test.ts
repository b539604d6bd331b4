import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeRoute } from "../../test/support/make_route.ts";
import { chooseTarget } from "./choose_target.ts";
import { createRouteTable } from "./create_route_table.ts";
import { findConfigProblems } from "./find_config_problems.ts";
import type { RouteConfig } from "./schemas.ts";

function makeConfig(fields: Partial<RouteConfig> = {}): RouteConfig {
  return {
    version: 1,
    routes: [makeRoute()],
    services: [{ name: "s", maxConnections: 10 }],
    accounts: [{ name: "one", keys: ["k1"] }],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...fields,
  };
}

test("the longest matching prefix wins, regardless of the host's port and case", () => {
  const table = createRouteTable(makeConfig({
    routes: [
      makeRoute({ name: "short", pathPrefix: "/x/" }),
      makeRoute({ name: "long", pathPrefix: "/x/y/" }),
      makeRoute({ name: "other", host: "b.example", pathPrefix: "/" }),
    ],
  }));
  assert.is(table.findRoute("A.example:80", "/x/y/z")?.name, "long");
  assert.is(table.findRoute("a.example", "/x/yz")?.name, "short");
  assert.is(table.findRoute("a.example", "/x/y/")?.name, "long");
  assert.is(table.findRoute("a.example", "/xy/"), undefined);
  assert.is(table.findRoute("b.example", "/anything")?.name, "other");
  assert.is(table.findRoute("c.example", "/x/"), undefined);
});

test("a key finds its account", () => {
  const table = createRouteTable(makeConfig());
  assert.is(table.findAccount("k1")?.name, "one");
  assert.is(table.findAccount("k2"), undefined);
  assert.ok(table.needsKeys);
});

const OPEN = { isAnonymous: true, pathPrefix: "/open/" };

test("a service's priorities are those of all pairs of its routes and accounts", () => {
  const { listPriorities } = createRouteTable(makeConfig({
    routes: [
      makeRoute({ priority: 2 }),
      makeRoute({ pathPrefix: "/y/", priority: 0 }),
      makeRoute({ pathPrefix: "/z/", priority: 0 }),
    ],
    accounts: [
      { name: "one", keys: ["k1"] },
      { name: "two", keys: ["k2"], priority: 1 },
      { name: "three", keys: ["k3"], priority: 1 },
      { name: "four", keys: ["k4"], priority: 2 },
    ],
  }));
  assert.equal(listPriorities("s"), [[0, 0], [1, 0], [1, 2], [2, 0], [2, 2]]);
  assert.equal(listPriorities("unknown"), []);
  assert.is(listPriorities("s"), listPriorities("s"));
});

test("a route's own priority counts where a request may have no account's", () => {
  const accounts = [{ name: "one", keys: ["k1"], priority: 5 }];
  const list = (fields: Partial<RouteConfig>) =>
    createRouteTable(makeConfig(fields)).listPriorities("s");
  const routes = [makeRoute({ priority: 1 })];
  assert.equal(list({ routes, accounts }), [[5, 1]]);
  assert.equal(list({ routes, accounts: [] }), [[1, 1]]);
  const open = [makeRoute({ ...OPEN, priority: 1 })];
  assert.equal(list({ routes: open, accounts }), [[1, 1], [5, 1]]);
});

test("routes without weight for a service add nothing to its priorities", () => {
  const { listPriorities } = createRouteTable(makeConfig({
    routes: [
      makeRoute({ priority: 1 }),
      makeRoute({
        pathPrefix: "/y/",
        priority: 0,
        targets: [{ service: "s", weight: 0 }, { service: "t", weight: 1 }],
      }),
    ],
  }));
  assert.equal(listPriorities("s"), [[1, 1]]);
  assert.equal(listPriorities("t"), [[0, 0]]);
});

test("targets are chosen by weight, and one of weight 0 never", () => {
  const targets = [
    { service: "a", weight: 0 },
    { service: "b", weight: 3 },
    { service: "c", weight: 1 },
    { service: "d", weight: 0 },
  ];
  assert.is(chooseTarget({ targets }, 0), "b");
  assert.is(chooseTarget({ targets }, 0.74), "b");
  assert.is(chooseTarget({ targets }, 0.76), "c");
  assert.is(chooseTarget({ targets }, 0.999999), "c");
});

test("a valid configuration has no problems", () => {
  assert.equal(findConfigProblems(makeConfig()), []);
});

const INVALID: Readonly<Record<string, Partial<RouteConfig>>> = {
  "unknown service": {
    routes: [makeRoute({ targets: [{ service: "t", weight: 1 }] })],
  },
  "duplicate route": { routes: [makeRoute(), makeRoute({ name: "again" })] },
  "duplicate route for a.example /x/": {
    routes: [makeRoute(), makeRoute({ name: "again", host: "A.EXAMPLE" })],
  },
  "routes.1: duplicate route": {
    routes: [makeRoute(), makeRoute({ name: "again", host: "a.example:80" })],
  },
  "version": { version: 9.5 },
  "weights sum": {
    routes: [makeRoute({ targets: [{ service: "s", weight: 0 }] })],
  },
  "routes.1.timeoutMs": {
    routes: [makeRoute(), makeRoute({ pathPrefix: "/y/", timeoutMs: 0 })],
  },
  "services.0.maxConnections": {
    services: [{ name: "s", maxConnections: -1 }],
  },
  "timeoutMs": { routes: [makeRoute({ timeoutMs: 0 })] },
  "share a key": {
    accounts: [{ name: "one", keys: ["k"] }, { name: "two", keys: ["k"] }],
  },
};

for (const [text, fields] of Object.entries(INVALID)) {
  test(`the problem of an invalid configuration contains: ${text}`, () => {
    const problems = findConfigProblems(makeConfig(fields));
    assert.ok(problems.some((problem) => problem.includes(text)), problems[0]);
  });
}

test.run();
