/**
 * The resources that operators declare. Types are inferred from the schemas.
 *
 * @module
 */

import { type Static, Type } from "typebox";

const Name = Type.String({
  pattern: "^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$",
  description: "Lower-case letters, digits, dots and hyphens, 63 at most",
});

/** A range of layers: `start` included, `end` not. */
export const LayerRangeSchema = Type.Object({
  start: Type.Integer({ minimum: 0, description: "First layer" }),
  end: Type.Integer({ minimum: 1, description: "Layer after the last" }),
}, { additionalProperties: false });

/** A range of layers: `start` included, `end` not. */
export type LayerRange = Static<typeof LayerRangeSchema>;

/** The kinds of accelerators, fastest first. */
export const ACCELERATOR_KINDS = ["a5", "a4", "a3", "a2", "a1"] as const;

/** A kind of accelerator. */
export type AcceleratorKind = typeof ACCELERATOR_KINDS[number];

const AcceleratorKindSchema = Type.Unsafe<AcceleratorKind>(
  Type.Union(
    ACCELERATOR_KINDS.map((kind) => Type.Literal(kind)),
    { description: "Kind of accelerator" },
  ),
);

/** Optional features of an engine, beyond running the steps of its layers. */
export const CAPABILITIES = [
  "kv-transfer",
  "resume",
  "cancel",
  "priority",
  "fence",
  "load-layers",
] as const;

/** An optional feature of an engine. */
export type Capability = typeof CAPABILITIES[number];

const CapabilitySchema = Type.Unsafe<Capability>(
  Type.Union(CAPABILITIES.map((capability) => Type.Literal(capability))),
);

/** One back end of a pool. */
export const UpstreamSpecSchema = Type.Object({
  name: Name,
  vm: Name,
  address: Type.String({
    pattern: "^https?://[^/]+$",
    description: "Base address, without a path",
  }),
  place: Name,
  acceleratorKind: Type.Optional(AcceleratorKindSchema),
  acceleratorCount: Type.Optional(Type.Integer({ minimum: 1, maximum: 64 })),
  memoryBytes: Type.Optional(
    Type.Integer({ minimum: 1, description: "Memory for weights, in bytes" }),
  ),
  layersPerS: Type.Optional(
    Type.Number({
      exclusiveMinimum: 0,
      description: "Throughput: layers times tokens per second",
    }),
  ),
  layers: Type.Optional(LayerRangeSchema),
  capabilities: Type.Optional(Type.Array(CapabilitySchema)),
  drain: Type.Optional(
    Type.Boolean({ description: "While true, no new requests are sent to it" }),
  ),
}, { additionalProperties: false });

/** One back end of a pool. */
export type UpstreamSpec = Static<typeof UpstreamSpecSchema>;

/** A service that callers may ask for. */
export const ServiceSpecSchema = Type.Object({
  type: Type.Union([Type.Literal("model"), Type.Literal("plain")]),
  model: Type.Optional(Name),
  pool: Name,
  priority: Type.Optional(
    Type.Integer({
      minimum: 0,
      maximum: 9,
      description: "0 to 9; 9 is served first",
    }),
  ),
  repeatable: Type.Optional(
    Type.Boolean({
      description:
        "Whether a request without the repeatable header may run twice",
    }),
  ),
  timeoutMs: Type.Optional(
    Type.Integer({ minimum: 1, maximum: 3_600_000 }),
  ),
  maxQueued: Type.Optional(
    Type.Integer({
      minimum: 0,
      description: "Largest number of queued requests, per entry",
    }),
  ),
  maxInFlight: Type.Optional(
    Type.Integer({
      minimum: 1,
      description: "Largest number of running requests, per entry",
    }),
  ),
}, { additionalProperties: false });

/** A service that callers may ask for. */
export type ServiceSpec = Static<typeof ServiceSpecSchema>;

/** A model whose layers are distributed over upstreams. */
export const ModelSpecSchema = Type.Object({
  layerCount: Type.Integer({ minimum: 1, maximum: 1_000 }),
  layerBytes: Type.Optional(
    Type.Integer({ minimum: 1, description: "Weights of one layer, in bytes" }),
  ),
  version: Type.Optional(Type.String()),
}, { additionalProperties: false });

/** A model whose layers are distributed over upstreams. */
export type ModelSpec = Static<typeof ModelSpecSchema>;

/** An adapter on top of a model. */
export const AdapterSpecSchema = Type.Object({
  model: Name,
  sizeBytes: Type.Optional(Type.Integer({ minimum: 1 })),
}, { additionalProperties: false });

/** An adapter on top of a model. */
export type AdapterSpec = Static<typeof AdapterSpecSchema>;

/** A customer: its API keys and its limits over all entries together. */
export const ClientAccountSpecSchema = Type.Object({
  keySha256: Type.Array(
    Type.String({ pattern: "^[0-9a-f]{64}$" }),
    { minItems: 1, description: "SHA-256 of each key, in hex" },
  ),
  requestsPerS: Type.Optional(Type.Number({ exclusiveMinimum: 0 })),
  maxInFlight: Type.Optional(Type.Integer({ minimum: 1 })),
  weight: Type.Optional(
    Type.Number({
      exclusiveMinimum: 0,
      description: "Relative share under overload",
    }),
  ),
}, { additionalProperties: false });

/** A customer: its API keys and its limits over all entries together. */
export type ClientAccountSpec = Static<typeof ClientAccountSpecSchema>;

/** Upstreams that services may use. */
export const PoolSpecSchema = Type.Object({
  upstreams: Type.Array(UpstreamSpecSchema),
}, { additionalProperties: false });

/** Upstreams that services may use. */
export type PoolSpec = Static<typeof PoolSpecSchema>;

/** A person or program that may read or change resources. */
export const OperatorSpecSchema = Type.Object({
  tokenSha256: Type.String({ pattern: "^[0-9a-f]{64}$" }),
  role: Type.Union([Type.Literal("admin"), Type.Literal("viewer")]),
}, { additionalProperties: false });

/** A person or program that may read or change resources. */
export type OperatorSpec = Static<typeof OperatorSpecSchema>;

/** The desired placement of a model's layers; written by control itself. */
export const PlacementSpecSchema = Type.Object({
  assignments: Type.Array(
    Type.Object({
      upstream: Name,
      layers: LayerRangeSchema,
      /** Set once the upstream has confirmed that the layers are loaded. */
      ready: Type.Boolean(),
      /** Fencing token of the order: the leader's term and a counter within it. */
      orderTerm: Type.Integer({ minimum: 0 }),
      orderSequence: Type.Integer({ minimum: 0 }),
    }, { additionalProperties: false }),
  ),
}, { additionalProperties: false });

/** The desired placement of a model's layers; written by control itself. */
export type PlacementSpec = Static<typeof PlacementSpecSchema>;

/** The schema of each declared kind's `spec`. */
export const SPEC_SCHEMAS = {
  service: ServiceSpecSchema,
  model: ModelSpecSchema,
  adapter: AdapterSpecSchema,
  clientAccount: ClientAccountSpecSchema,
  pool: PoolSpecSchema,
  operator: OperatorSpecSchema,
  placement: PlacementSpecSchema,
} as const;

/** A resource kind of the accepted state. */
export type ResourceKind = keyof typeof SPEC_SCHEMAS;

/** All resource kinds of the accepted state. */
export const RESOURCE_KINDS = Object.keys(SPEC_SCHEMAS) as ResourceKind[];

/** The kinds that only control itself writes. */
export const SYSTEM_KINDS: readonly ResourceKind[] = ["placement"];

/** The spec of each kind. */
export interface SpecByKind {
  readonly service: ServiceSpec;
  readonly model: ModelSpec;
  readonly adapter: AdapterSpec;
  readonly clientAccount: ClientAccountSpec;
  readonly pool: PoolSpec;
  readonly operator: OperatorSpec;
  readonly placement: PlacementSpec;
}

/** A declared resource of one kind. */
export interface Resource<Kind extends ResourceKind = ResourceKind> {
  readonly kind: Kind;
  readonly name: string;
  readonly spec: SpecByKind[Kind];
  /** Revision of the accepted state at which it last changed. */
  readonly revision: number;
  /** Number of times that its spec was set. */
  readonly generation: number;
}

/** A change of a resource as watches and entries see it. */
export interface ResourceChange {
  readonly revision: number;
  readonly kind: ResourceKind;
  readonly name: string;
  /** The resource, or undefined where it was deleted. */
  readonly resource?: Resource;
}

/** Schema of a resource's name, for use in other schemas. */
export const NameSchema = Name;
