/**
 * Configurations for soak tests: additional routes, and invalid documents.
 *
 * @module
 */

import { makeWireConfig } from "../../standins/index.ts";

interface WireRoute {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
}

/** Makes a route to the plain service with a unique path prefix. */
export function makeAddedRoute(at: number): WireRoute {
  return { ...getPlainRoute(), name: `r-${at}`, pathPrefix: `/added-${at}/` };
}

function getPlainRoute(): WireRoute {
  const { routes } = makeWireConfig(1) as { routes: WireRoute[] };
  return routes[2];
}

/** Lists documents of a version, each invalid for a different reason. */
export function listInvalidConfigs(version: number): string[] {
  const config = makeWireConfig(version) as { routes: WireRoute[] };
  const route = getPlainRoute();
  const withRoute = (fields: object) => ({
    ...config,
    routes: [...config.routes, { ...makeAddedRoute(-1), ...fields }],
  });
  const noWeight = [{ service: "plain", weight: 0 }];
  const goodSplit = [{ service: "plain", weight: 1 }];
  const key = "shared";
  const invalid = [
    withRoute({ service: "unknown" }),
    withRoute({ service: "unknown", trafficSplit: goodSplit }),
    withRoute({ pathPrefix: route.pathPrefix }),
    withRoute({ pathPrefix: route.pathPrefix, host: "A.EXAMPLE" }),
    withRoute({ service: undefined, trafficSplit: noWeight }),
    withRoute({ timeoutMs: 0 }),
    { ...config, version: version + 0.5 },
    {
      ...config,
      tenants: [
        { name: "one", apiKeys: ["key-1", key] },
        { name: "two", apiKeys: [key] },
      ],
    },
  ].map((one) => JSON.stringify(one));
  return [...invalid, JSON.stringify(config).slice(0, -20)];
}
