/**
 * The resources of the demo fleet: a model in three stages, a plain service and a
 * client account.
 *
 * @module
 */

import type { DeclaredResource } from "../src/cli/apply_resources.ts";
import { hashSecret } from "../src/http/index.ts";

/** API key of the demo's client account. */
export const ACCOUNT_KEY = "key-of-the-dock";

/** Number of layers of the demo's model. */
export const LAYER_COUNT = 12;

/** Addresses of the stand-ins. */
export interface TrialUpstreams {
  /** Addresses of engines, one list per range of layers. */
  readonly stages: readonly (readonly string[])[];
  readonly plain: readonly string[];
}

/** Returns the resources of the demo fleet. */
export function getTrialResources(
  upstreams: TrialUpstreams,
): DeclaredResource[] {
  const { stages, plain } = upstreams;
  const size = LAYER_COUNT / stages.length;
  const engines = stages.flatMap((addresses, stage) =>
    addresses.map((address, copy) => ({
      name: `engine-${stage + 1}-${copy + 1}`,
      vm: `engine-vm-${stage + 1}-${copy + 1}`,
      address,
      place: "place-1",
      acceleratorKind: "a3",
      layersPerS: 4_000,
      layers: { start: stage * size, end: (stage + 1) * size },
    }))
  );
  const services = plain.map((address, at) => ({
    name: `plain-${at + 1}`,
    vm: `plain-vm-${at + 1}`,
    address,
    place: "place-1",
  }));
  return [
    {
      kind: "model",
      name: "drafting-model",
      spec: { layerCount: LAYER_COUNT },
    },
    { kind: "pool", name: "engines", spec: { upstreams: engines } },
    { kind: "pool", name: "dashboards", spec: { upstreams: services } },
    {
      kind: "service",
      name: "drafting",
      spec: { type: "model", model: "drafting-model", pool: "engines" },
    },
    {
      kind: "service",
      name: "dashboard",
      spec: { type: "plain", pool: "dashboards", timeoutMs: 10_000 },
    },
    {
      kind: "clientAccount",
      name: "dock",
      spec: { keySha256: [hashSecret(ACCOUNT_KEY)] },
    },
  ];
}
