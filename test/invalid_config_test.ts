/**
 * Invalid configurations are rejected with the name of the invalid field, and change
 * nothing.
 */

import { test } from "uvu";
import * as assert from "uvu/assert";
import { until } from "../demo/until.ts";
import { makeWireConfig, startTestFleet } from "./support/fleet.ts";

interface WireRoute {
  readonly name: string;
  readonly host: string;
  readonly service?: string;
}

/** Makes a configuration with a changed copy of its first route. */
function makeConfigWithRoute(version: number, fields: object): object {
  const config = makeWireConfig(version) as { routes: WireRoute[] };
  const [route] = config.routes;
  return {
    ...config,
    routes: [...config.routes, { ...route, name: "added", ...fields }],
  };
}

const OTHER_PREFIX = { pathPrefix: "/other/" };

const INVALID_CONFIGS: Readonly<Record<string, object>> = {
  "two routes whose hosts differ by case": makeConfigWithRoute(5, {
    host: "A.EXAMPLE",
  }),
  "two routes whose hosts differ by the port": makeConfigWithRoute(5, {
    host: "a.example:80",
  }),
  "an unknown service beside a split": makeConfigWithRoute(5, {
    ...OTHER_PREFIX,
    service: "unknown",
    trafficSplit: [{ service: "plain", weight: 1 }],
  }),
  "a version that is not an integer": makeConfigWithRoute(5.5, OTHER_PREFIX),
  "keys that are not an array": {
    ...makeWireConfig(5),
    tenants: [{ name: "one", apiKeys: "key-1" }],
  },
};

for (const [name, config] of Object.entries(INVALID_CONFIGS)) {
  test(`an invalid configuration is rejected and does not take effect: ${name}`, async () => {
    await using fleet = await startTestFleet({ controls: 1, gateways: 1 });
    const valid = makeWireConfig(3);
    await until(
      "the valid configuration is accepted",
      async () => await fleet.put(valid) === 200,
    );
    await fleet.waitForVersion(3);
    assert.is(await fleet.put(config), 400);
    const { text } = await fleet.readConfig();
    assert.equal(JSON.parse(text), valid);
    assert.is(fleet.gateways[0].gateway.getVersion(), 3);
  });
}

test.run();
