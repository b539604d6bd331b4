/**
 * Configurations for soak tests: additional routes, invalid documents, and routes and
 * accounts of several priorities.
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

/** Client accounts: the priority, if any, and the weight among the requests. */
const ACCOUNTS = [
  { name: "large", priority: undefined, weight: 7 },
  { name: "small", priority: undefined, weight: 2 },
  { name: "urgent", priority: 0, weight: 1 },
];

/** The keys of the client accounts, each as often as its weight. */
export const PRIORITY_KEYS: readonly string[] = ACCOUNTS.flatMap(
  ({ name, weight }) => Array<string>(weight).fill(name),
);

/** Paths of the stream routes, in the order of their priorities, and a plain one. */
export const PRIORITY_PATHS: readonly string[] = [
  "/stream-0/1",
  "/stream-1/1",
  "/stream-2/1",
  "/once/1",
];

/** Makes a configuration with a stream route for each priority, and three accounts. */
export function makePriorityConfig(
  version: number,
  priorities: readonly number[],
): object {
  const config = makeWireConfig(version) as { routes: WireRoute[] };
  const [stream, ...plain] = config.routes;
  const streams = priorities.map((priority, at) => ({
    ...stream,
    name: `stream-${at}`,
    pathPrefix: `/stream-${at}/`,
    priority,
  }));
  const tenants = ACCOUNTS.map(({ name, priority }) => ({
    name,
    apiKeys: [name],
    priority,
  }));
  return { ...config, routes: [...streams, ...plain], tenants };
}
