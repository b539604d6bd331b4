/**
 * The schemas of a whole configuration: routes, services, client accounts.
 *
 * @module
 */

import Type, { type Static } from "typebox";

/** A service's share of a route's requests. */
export const RouteTargetSchema = Type.Object({
  service: Type.String({ minLength: 1 }),
  /** Share of the requests, relative to the other targets' weights. */
  weight: Type.Number({ minimum: 0 }),
});

/** A service's share of a route's requests. */
export type RouteTarget = Static<typeof RouteTargetSchema>;

/** What a gateway may do with a request whose outcome is not known. */
export const RepeatabilitySchema = Type.Enum([
  "repeatable",
  "once",
  "resumable",
]);

/** One route: which requests it takes and how they are served. */
export const RouteSchema = Type.Object({
  name: Type.String(),
  /** Name that callers put in the Host header, without a port. */
  host: Type.String({ minLength: 1 }),
  /** Begins and ends with a slash; the longest that matches wins. */
  pathPrefix: Type.String({ pattern: "^/" }),
  repeatability: RepeatabilitySchema,
  /** Whether the answer is a series of events. */
  isStream: Type.Boolean(),
  /** Longest time, in ms, for which a request is held. */
  timeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  /** Time, in ms, to the first byte that callers are content with. */
  objectiveMs: Type.Number({ minimum: 0 }),
  /** Pause between events, in ms, that callers are content with; 0: none. */
  gapObjectiveMs: Type.Number({ minimum: 0 }),
  /** Rank among other requests; 0 is the most urgent. */
  priority: Type.Number({ minimum: 0 }),
  targets: Type.Array(RouteTargetSchema, { minItems: 1 }),
  /** Upstreams on which one request may run, at most. */
  maxAttempts: Type.Number({ minimum: 1 }),
  /** Whether requests need no key. */
  isAnonymous: Type.Boolean(),
});

/** One route. */
export type Route = Static<typeof RouteSchema>;

/** A kind of accelerator card. */
export const CardKindSchema = Type.Object({
  name: Type.String(),
  memoryMb: Type.Number({ exclusiveMinimum: 0 }),
  /** Factor on the time of a token step. */
  stepFactor: Type.Number({ exclusiveMinimum: 0 }),
  /** Factor on the time of reading a prompt. */
  readFactor: Type.Number({ exclusiveMinimum: 0 }),
});

/** A kind of accelerator card. */
export type CardKind = Static<typeof CardKindSchema>;

/** A model whose layers are spread over engines. */
export const LayeredModelSchema = Type.Object({
  layers: Type.Integer({ minimum: 1 }),
  layerMb: Type.Number({ exclusiveMinimum: 0 }),
  /** Bytes of KV cache that a token takes over all layers. */
  kvTokenBytes: Type.Number({ minimum: 0 }),
  /** Time, in ms, in which an engine loads all layers. */
  loadMs: Type.Number({ minimum: 0 }),
  /** Loads that run at the same time at full speed. */
  loadsAtOnce: Type.Integer({ minimum: 1 }),
  /** Requests that an engine takes as the first of a path. */
  slots: Type.Integer({ minimum: 1 }),
  /** Time of a token step, in ms, with all layers on the fastest card. */
  stepMs: Type.Number({ minimum: 0 }),
  /** Time, in ms, that each running request adds to a token step. */
  requestStepMs: Type.Number({ minimum: 0 }),
  /** Time, in ms, that each token of running requests adds to it. */
  contextStepMs: Type.Number({ minimum: 0 }),
  /** Prompt tokens read a second, with all layers on the fastest card. */
  readTokensPerS: Type.Number({ exclusiveMinimum: 0 }),
  /** Mean tokens of a prompt. */
  usualPromptTokens: Type.Number({ minimum: 0 }),
  /** Mean tokens of an answer. */
  usualAnswerTokens: Type.Number({ minimum: 0 }),
  cards: Type.Array(CardKindSchema),
});

/** A model whose layers are spread over engines. */
export type LayeredModel = Static<typeof LayeredModelSchema>;

/** A service: a group of upstreams that register themselves. */
export const ServiceSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  /** Connections that one upstream takes from all callers together. */
  maxConnections: Type.Number({ minimum: 0 }),
  /** Set where the service runs a model in ranges of layers. */
  model: Type.Optional(LayeredModelSchema),
});

/** A service. */
export type Service = Static<typeof ServiceSchema>;

/** A client account and its keys. */
export const AccountSchema = Type.Object({
  name: Type.String({ minLength: 1 }),
  keys: Type.Array(Type.String()),
  /** Replaces the routes' priority where given. */
  priority: Type.Optional(Type.Number({ minimum: 0 })),
});

/** A client account and its keys. */
export type Account = Static<typeof AccountSchema>;

/** Limits on what callers send. */
export const CallerLimitsSchema = Type.Object({
  headerBytes: Type.Number({ exclusiveMinimum: 0 }),
  bodyBytes: Type.Number({ exclusiveMinimum: 0 }),
  headerTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
  idleTimeoutMs: Type.Number({ exclusiveMinimum: 0 }),
});

/** A whole configuration; it is replaced at a higher version. */
export const RouteConfigSchema = Type.Object({
  version: Type.Integer({ minimum: 0, maximum: Number.MAX_SAFE_INTEGER }),
  routes: Type.Array(RouteSchema),
  services: Type.Array(ServiceSchema),
  /** Empty: no request needs a key. */
  accounts: Type.Array(AccountSchema),
  limits: CallerLimitsSchema,
});

/** A whole configuration. */
export type RouteConfig = Static<typeof RouteConfigSchema>;
