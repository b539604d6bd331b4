/**
 * Explains why the declared and the live state of a resource differ.
 *
 * @module
 */

import type { EntryMember, MembershipState } from "../membership/index.ts";
import type {
  PoolSpec,
  Resource,
  ServiceSpec,
  UpstreamSpec,
} from "../model/index.ts";
import { getResourceKey, type ResourceState } from "../resources/index.ts";

/** A difference, its cause, and how it is being resolved. */
export interface Explanation {
  readonly what: string;
  readonly why: string;
  readonly doing: string;
}

/**
 * Explains where the declared and the live state of a resource differ.
 *
 * @param resource - The resource.
 * @param options - The accepted resources and the membership.
 * @returns The differences; empty if the resource is fully in force.
 * @throws Nothing.
 * @example
 * const reasons = explainResource(resource, { state, membership });
 */
export function explainResource(
  resource: Resource,
  options: { state: ResourceState; membership: MembershipState },
): Explanation[] {
  const { state, membership } = options;
  const lagging = Object.values(membership.entries)
    .filter((entry) => entry.listed && entry.revision < resource.revision)
    .map((entry) => explainLag(resource, entry));
  return [...lagging, ...explainSpec(resource, { state, membership })];
}

function explainLag(resource: Resource, entry: EntryMember): Explanation {
  return {
    what: `Entry ${entry.vm} does not have revision ${resource.revision} yet`,
    why: `It reports revision ${entry.revision}`,
    doing: "The change was sent; waiting for the entry's next report",
  };
}

function explainSpec(
  resource: Resource,
  options: { state: ResourceState; membership: MembershipState },
): Explanation[] {
  if (resource.kind === "service") {
    return explainService(resource as Resource<"service">, options.state);
  }
  if (resource.kind === "pool") {
    return explainPool(resource as Resource<"pool">, options.membership);
  }
  return [];
}

function explainService(
  { name, spec }: Resource<"service">,
  state: ResourceState,
): Explanation[] {
  const pool = state.resources.get(getResourceKey("pool", spec.pool));
  const missingPool = pool ? [] : [missing(name, `pool ${spec.pool}`)];
  if (spec.type === "plain") return missingPool;
  if (spec.model === undefined) return [...missingPool, missing(name, "model")];
  const model = state.resources.get(getResourceKey("model", spec.model));
  if (!model) return [...missingPool, missing(name, `model ${spec.model}`)];
  if (!pool) return missingPool;
  const { layerCount } = (model as Resource<"model">).spec;
  const uncovered = findUncoveredLayer(spec, {
    pool: (pool as Resource<"pool">).spec,
    state,
    layerCount,
  });
  if (uncovered === undefined) return [];
  return [{
    what: `Service ${name} has no upstream for layer ${uncovered}`,
    why:
      `The upstreams of pool ${spec.pool} do not cover all ${layerCount} layers`,
    doing:
      "Requests are rejected with no_chain until an upstream serves the layer",
  }];
}

function missing(name: string, what: string): Explanation {
  return {
    what: `Service ${name} refers to a ${what} that is not declared`,
    why: "Resources may be declared in any order",
    doing: "Requests are rejected until it is declared",
  };
}

function findUncoveredLayer(
  spec: ServiceSpec,
  options: { pool: PoolSpec; state: ResourceState; layerCount: number },
): number | undefined {
  const { pool, state, layerCount } = options;
  const placement = state.resources.get(
    getResourceKey("placement", spec.model ?? ""),
  ) as Resource<"placement"> | undefined;
  const placed = placement?.spec.assignments
    .filter((assignment) => assignment.ready)
    .map((assignment) => assignment.layers) ?? [];
  const fixed = pool.upstreams.flatMap((upstream) => upstream.layers ?? []);
  const ranges = [...placed, ...fixed];
  for (let layer = 0; layer < layerCount; layer++) {
    const isCovered = ranges.some(({ start, end }) =>
      start <= layer && layer < end
    );
    if (!isCovered) return layer;
  }
  return undefined;
}

function explainPool(
  { spec }: Resource<"pool">,
  membership: MembershipState,
): Explanation[] {
  return spec.upstreams.flatMap((upstream) =>
    explainUpstream(upstream, membership)
  );
}

function explainUpstream(
  upstream: UpstreamSpec,
  membership: MembershipState,
): Explanation[] {
  const what = `Upstream ${upstream.name} gets no new requests`;
  if (upstream.drain) {
    return [{
      what,
      why: "An operator drains it",
      doing: "Running requests finish",
    }];
  }
  const vm = membership.vms[upstream.vm] ?? "live";
  if (vm === "live") return [];
  return [{
    what,
    why: `The platform reports VM ${upstream.vm} as ${vm}`,
    doing: vm === "leaving"
      ? "Running requests finish"
      : "Other upstreams serve its requests",
  }];
}
