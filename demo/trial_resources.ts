/**
 * The resources of the trial fleet: a model over three stages, a plain
 * service, two client accounts.
 *
 * @module
 */

import type { DeclaredResource } from "../src/cli/apply_resources.ts";
import { hashSecret } from "../src/http/index.ts";

/** Key of the trial's client account. */
export const ACCOUNT_KEY = "key-of-the-dock";

/** Layers of the trial's model. */
export const LAYER_COUNT = 12;

/** Where the stand-ins are. */
export interface TrialUpstreams {
  /** Addresses of engines, a list for each of the three ranges. */
  readonly stages: readonly (readonly string[])[];
  readonly plain: readonly string[];
}

/** Gets the resources of the trial fleet. */
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
