/**
 * Invalid configurations are refused with the field that is wrong, and change
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

/** A configuration of which the first route is taken twice, changed. */
function makeWithRoute(version: number, fields: object): object {
  const config = makeWireConfig(version) as { routes: WireRoute[] };
  const [route] = config.routes;
  return {
    ...config,
    routes: [...config.routes, { ...route, name: "added", ...fields }],
  };
}

const OTHER_PLACE = { pathPrefix: "/other/" };

const INVALID: Readonly<Record<string, object>> = {
  "two routes whose hosts differ by case": makeWithRoute(5, {
    host: "A.EXAMPLE",
  }),
  "two routes whose hosts differ by the port": makeWithRoute(5, {
    host: "a.example:80",
  }),
  "an unknown service beside a split": makeWithRoute(5, {
    ...OTHER_PLACE,
    service: "unknown",
    trafficSplit: [{ service: "plain", weight: 1 }],
  }),
  "a version that is no whole number": makeWithRoute(5.5, OTHER_PLACE),
  "keys that are no list": {
    ...makeWireConfig(5),
    tenants: [{ name: "one", apiKeys: "key-1" }],
  },
};

for (const [what, config] of Object.entries(INVALID)) {
  test(`an invalid configuration is refused and not in force: ${what}`, async () => {
    await using fleet = await startTestFleet({ controls: 1, gateways: 1 });
    const valid = makeWireConfig(3);
    await until("it is taken", async () => await fleet.put(valid) === 200);
    await fleet.settle(3);
    assert.is(await fleet.put(config), 400);
    const { text } = await fleet.readConfig();
    assert.equal(JSON.parse(text), valid);
    assert.is(fleet.gateways[0].gateway.getVersion(), 3);
  });
}

test.run();
