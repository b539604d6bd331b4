/**
 * A small configuration on the platform's wire, for fleets before stand-ins.
 *
 * @module
 */

/** Layers of the model. */
export const LAYERS = 8;

/** The model service's engines on the wire. */
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

/**
 * Makes a configuration with a route of each kind: `/stream/`, `/once/`, `/safe/`.
 *
 * @param version - Its version.
 * @param fields - The client account's keys and the routes' timeout.
 * @returns The configuration as the operator writes it.
 * @throws Nothing.
 * @example
 * const document = JSON.stringify(makeWireConfig(1));
 */
export function makeWireConfig(
  version: number,
  fields: { keys?: readonly string[]; timeoutMs?: number } = {},
): object {
  const { keys = ["key-1"], timeoutMs = 5_000 } = fields;
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
      { name: "model", maxConns: 100, engine: ENGINE },
      { name: "plain", maxConns: 100 },
    ],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 65_536 },
    tenants: [{ name: "one", apiKeys: keys, priority: 1 }],
  };
}

/** Numbers that spread the texts of routes, so that they share little. */
const SPREAD = { name: 1, host: 31, prefix: 17 };

/**
 * Makes a configuration of many routes. Two versions differ in the timeouts of two
 * routes, and where one has more of them, in those.
 *
 * @param version - Its version.
 * @param options - How many routes it has.
 * @returns The configuration as the operator writes it.
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
    name: `é-${spread(at * SPREAD.name)}`,
    host: `${spread(at * SPREAD.host)}.example`,
    pathPrefix: `/${spread(at * SPREAD.prefix)}/`,
    timeoutMs: at === version * 7 ? 19_000 : 20_000,
  }));
  return { ...config, routes };
}

function spread(at: number): string {
  return (Math.imul(at + 1, 2_654_435_761) >>> 0).toString(36);
}
