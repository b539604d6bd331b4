import type { Route } from "../../src/routes/index.ts";

/** Makes a route `a.example/x/` to service `s` whose requests must run at most once. */
export function makeRoute(fields: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "a.example",
    pathPrefix: "/x/",
    repeatability: "once",
    isStream: false,
    timeoutMs: 1_000,
    objectiveMs: 300,
    gapObjectiveMs: 0,
    priority: 1,
    targets: [{ service: "s", weight: 1 }],
    maxAttempts: 1,
    isAnonymous: false,
    ...fields,
  };
}
