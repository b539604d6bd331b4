/**
 * Schemas of the configuration: routes, services and client accounts.
 *
 * @module
 */

import Type, { type Static } from "typebox";

/** A target of a route: a service and its weight. */
export const RouteTargetSchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  /** Share of the route's requests, relative to the weights of the other targets. */
  weight: Type.Number({ minimum: 0 }),
});

/** A target of a route. */
export type RouteTarget = Static<typeof RouteTargetSchema>;

/** Whether a gateway may retry a request whose outcome is unknown. */
export const RepeatabilitySchema = Type.Enum([
  "repeatable",
  "once",
  "resumable",
]);

/** A route: which requests it matches and how they are served. */
export const RouteSchema = Type.Object({
  name: Type.String(),
  /** Host name that callers send in the Host header, without a port. */
  host: Type.String({ minLength: 1 }),
  /** Path prefix, starting and ending with a slash; the longest match wins. */
  pathPrefix: Type.String({ pattern: "^/" }),
  repeatability: RepeatabilitySchema,
  /** Whether the response is a stream of events. */
  isStream: Type.Boolean(),
  /** Timeout of a request, in ms. */
  timeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Objective for the time to the first byte, in ms. */
  objectiveMs: Type.Number({ minimum: 0 }),
  /** Objective for the time between events, in ms; 0: no objective. */
  gapObjectiveMs: Type.Number({ minimum: 0 }),
  /** Priority among requests; 0 is the most urgent. */
  priority: Type.Number({ minimum: 0 }),
  targets: Type.Array(RouteTargetSchema, { minItems: 1 }),
  /** Maximum number of upstreams on which one request may run. */
  maxAttempts: Type.Number({ minimum: 1 }),
  /** Whether requests are accepted without an API key. */
  isAnonymous: Type.Boolean(),
});

/** A route. */
export type Route = Static<typeof RouteSchema>;

/** A kind of accelerator card. */
export const CardKindSchema = Type.Object({
  name: Type.String(),
  memoryMb: Type.Number({ exclusiveMinimum: 0 }),
  /** Time of a token step, relative to the fastest card. */
  stepFactor: Type.Number({ exclusiveMinimum: 0 }),
  /** Time to read (prefill) a prompt, relative to the fastest card. */
  readFactor: Type.Number({ exclusiveMinimum: 0 }),
});

/** A kind of accelerator card. */
export type CardKind = Static<typeof CardKindSchema>;

/** A model whose layers are distributed over engines. */
export const LayeredModelSchema = Type.Object({
  layers: Type.Integer({ minimum: 1 }),
  layerMb: Type.Number({ exclusiveMinimum: 0 }),
  /** KV cache per token over all layers, in bytes. */
  kvTokenBytes: Type.Number({ minimum: 0 }),
  /** Time to load all layers into an engine, in ms. */
  loadMs: Type.Number({ minimum: 0 }),
  /** Number of loads that can run concurrently at full speed. */
  loadsAtOnce: Type.Integer({ minimum: 1 }),
  /** Concurrent requests that an engine accepts as the first stage of a path. */
  slots: Type.Integer({ minimum: 1 }),
  /** Time of a token step, in ms, with all layers on the fastest card. */
  stepMs: Type.Number({ minimum: 0 }),
  /** Time, in ms, that each running request adds to a token step. */
  requestStepMs: Type.Number({ minimum: 0 }),
  /** Time, in ms, that each context token of running requests adds to a token step. */
  contextStepMs: Type.Number({ minimum: 0 }),
  /** Prompt tokens prefilled per second, with all layers on the fastest card. */
  readTokensPerS: Type.Number({ exclusiveMinimum: 0 }),
  /** Mean length of a prompt, in tokens. */
  usualPromptTokens: Type.Number({ minimum: 0 }),
  /** Mean length of a response, in tokens. */
  usualAnswerTokens: Type.Number({ minimum: 0 }),
  cards: Type.Array(CardKindSchema),
  /** Bytes per token that an engine passes on to the next one of a path. */
  activationBytes: Type.Optional(Type.Number({ minimum: 0 })),
  /** Rate of the link between two data centres that all requests share. */
  placeLinkMbps: Type.Optional(Type.Number({ minimum: 0 })),
});

/** A model whose layers are distributed over engines. */
export type LayeredModel = Static<typeof LayeredModelSchema>;

/** A service: a group of upstreams that register themselves. */
export const ServiceSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  /** Maximum number of connections to one upstream, over all callers. */
  maxConnections: Type.Number({ minimum: 0 }),
  /** The model, if the service runs one that is split into ranges of layers. */
  model: Type.Optional(LayeredModelSchema),
});

/** A service. */
export type Service = Static<typeof ServiceSchema>;

/** A client account and its keys. */
export const AccountSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  keys: Type.Array(Type.String()),
  /** Overrides the priority of the route. */
  priority: Type.Optional(Type.Number({ minimum: 0 })),
});

/** A client account and its keys. */
export type Account = Static<typeof AccountSchema>;

/** Limits on requests of callers. */
export const CallerLimitsSchema = Type.Object({
  headerBytes: Type.Number({ exclusiveMinimum: 0 }),
  bodyBytes: Type.Number({ exclusiveMinimum: 0 }),
  headerTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  idleTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
});

/** A complete configuration; one with a higher version replaces it. */
export const RouteConfigSchema = Type.Object({
  version: Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
  routes: Type.Array(RouteSchema),
  services: Type.Array(ServiceSchema),
  /** Client accounts; if empty, no request needs an API key. */
  accounts: Type.Array(AccountSchema),
  limits: CallerLimitsSchema,
});

/** A complete configuration. */
export type RouteConfig = Static<typeof RouteConfigSchema>;
