/**
 * Small configurations in the platform's format, for fleets with stand-in upstreams.
 *
 * @module
 */

/** Number of layers of the model. */
export const LAYERS = 8;

/** Engine settings of the model service, in the platform's format. */
const ENGINE = {
  slots: 8,
  kvTokenBytes: 1_000,
  models: [{ name: "m", loadS: 0.2 }],
  step_ms: 1,
  read_per_s: 100_000,
  loads_at_once: 6,
  usual: { prompt: 20, answer: 20 },
  layers: LAYERS,
  layerMb: 100,
  kinds: [{ name: "card", mb: 500, pace: 1, readX: 1 }],
};

/** A link between data centres on which a prompt takes a few ms, as it is declared. */
export const WIRE_LINK = { actBytes: 16_000, pipeMbps: 1_000 };

/**
 * Makes a configuration with one route of each type: `/stream/`, `/once/`, `/safe/`.
 *
 * @param version - Version of the configuration.
 * @param fields - The client account's keys, the routes' timeout and the link between
 * data centres, which is not declared by default.
 * @returns The configuration document of an operator.
 * @throws Nothing.
 * @example
 * const document = JSON.stringify(makeWireConfig(1));
 */
export function makeWireConfig(
  version: number,
  fields: {
    keys?: readonly string[];
    timeoutMs?: number;
    link?: typeof WIRE_LINK;
  } = {},
): object {
  const { keys = ["key-1"], timeoutMs = 5_000, link } = fields;
  const common = {
    host: "a.example",
    timeoutMs,
    targetLatencyMs: 500,
    priority: 1,
    anonymous: false,
  };
  return {
    version,
    routes: [
      {
        ...common,
        name: "stream",
        pathPrefix: "/stream/",
        routeType: "stream",
        resumable: true,
        maxAttempts: 2,
        service: "model",
      },
      {
        ...common,
        name: "once",
        pathPrefix: "/once/",
        routeType: "unsafe",
        maxAttempts: 1,
        service: "plain",
      },
      {
        ...common,
        name: "safe",
        pathPrefix: "/safe/",
        routeType: "safe",
        maxAttempts: 2,
        service: "plain",
      },
    ],
    services: [
      { name: "model", maxConns: 100, engine: { ...ENGINE, ...link } },
      { name: "plain", maxConns: 100 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536 },
    tenants: [{ name: "one", apiKeys: keys, priority: 1 }],
  };
}

/** Multipliers of an index that give route texts with few common substrings. */
const ROUTE_MULTIPLIERS = { name: 1, host: 31, prefix: 17 };

/**
 * Makes a configuration of many routes. Two versions differ in the timeouts of two
 * routes, and in the routes that only the longer one has.
 *
 * @param version - Version of the configuration.
 * @param options - The number of routes.
 * @returns The configuration document of an operator.
 * @throws Nothing.
 * @example
 * const document = JSON.stringify(makeLargeWireConfig(3, { routes: 1_400 }));
 */
export function makeLargeWireConfig(
  version: number,
  options: { readonly routes: number },
): object {
  const config = makeWireConfig(version) as { routes: object[] };
  const [route] = config.routes;
  const routes = Array.from({ length: options.routes }, (_, at) => ({
    ...route,
    name: `é-${makeDistinctText(at * ROUTE_MULTIPLIERS.name)}`,
    host: `${makeDistinctText(at * ROUTE_MULTIPLIERS.host)}.example`,
    pathPrefix: `/${makeDistinctText(at * ROUTE_MULTIPLIERS.prefix)}/`,
    timeoutMs: at === version * 7 ? 19_000 : 20_000,
  }));
  return { ...config, routes };
}

function makeDistinctText(at: number): string {
  return (Math.imul(at + 1, 2_654_435_761) >>> 0).toString(36);
}
