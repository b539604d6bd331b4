import { test } from "uvu";
import * as assert from "uvu/assert";
import { makeRoute } from "../../test/support/make_route.ts";
import { applyConfigChange } from "./apply_config_change.ts";
import { diffConfigs } from "./diff_configs.ts";
import type { RouteConfig } from "./schemas.ts";

const LIMITS = {
  headerBytes: 1,
  bodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};

function makeConfig(fields: Partial<RouteConfig> = {}): RouteConfig {
  return {
    version: 1,
    routes: [],
    services: [],
    accounts: [],
    limits: LIMITS,
    ...fields,
  };
}

function makeRoutes(prefixes: readonly string[], fields = {}) {
  return prefixes.map((pathPrefix) => makeRoute({ pathPrefix, ...fields }));
}

/** Sorts all lists, so that the comparison ignores their order. */
function sortLists(config: RouteConfig): RouteConfig {
  const sort = <Item>(items: readonly Item[]) =>
    [...items].sort((a, b) => JSON.stringify(a) < JSON.stringify(b) ? -1 : 1);
  const { routes, services, accounts } = config;
  return {
    ...config,
    routes: sort(routes),
    services: sort(services),
    accounts: sort(accounts),
  };
}

const PAIRS: Readonly<Record<string, readonly [RouteConfig, RouteConfig]>> = {
  "routes added, replaced and removed": [
    makeConfig({ routes: makeRoutes(["/a/", "/b/", "/c/"]) }),
    makeConfig({
      version: 2,
      routes: [
        ...makeRoutes(["/d/", "/a/"]),
        ...makeRoutes(["/c/"], { timeoutMs: 7 }),
      ],
    }),
  ],
  "a key moved to another account, an account removed": [
    makeConfig({
      accounts: [
        { name: "one", keys: ["k1", "k2"] },
        { name: "two", keys: [] },
        { name: "three", keys: ["k3"] },
      ],
    }),
    makeConfig({
      version: 2,
      accounts: [
        { name: "one", keys: ["k1"] },
        { name: "two", keys: ["k2"], priority: 1 },
      ],
    }),
  ],
  "two accounts with the same name": [
    makeConfig({ accounts: [{ name: "one", keys: ["k1"] }] }),
    makeConfig({
      version: 2,
      accounts: [
        { name: "one", keys: ["k1"] },
        { name: "one", keys: ["k2"] },
      ],
    }),
  ],
  "services and limits": [
    makeConfig({ services: [{ name: "s", maxConnections: 1 }] }),
    makeConfig({
      version: 2,
      services: [
        { name: "s", maxConnections: 2 },
        { name: "t", maxConnections: 1 },
      ],
      limits: { ...LIMITS, bodyBytes: 9 },
    }),
  ],
};

for (const [what, [from, to]] of Object.entries(PAIRS)) {
  test(`applying a change yields the newer configuration: ${what}`, () => {
    for (const [before, after] of [[from, to], [to, from]]) {
      const applied = applyConfigChange(before, diffConfigs(before, after));
      assert.equal(sortLists(applied), sortLists(after));
    }
  });
}

test("a change contains only the items that differ", () => {
  const [from, to] = PAIRS["routes added, replaced and removed"];
  const { routes } = diffConfigs(from, to);
  assert.equal(routes.put.map(({ pathPrefix }) => pathPrefix), ["/d/", "/c/"]);
  assert.equal(routes.removedKeys, ["a.example /b/"]);
});

test.run();
