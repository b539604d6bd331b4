/**
 * Builds the fleet status that operators see.
 *
 * @module
 */

import type { Resource } from "../model/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";
import type { FleetView } from "./create_fleet_view.ts";
import type { Replica } from "./create_replica.ts";
import { explainResource } from "./explain_resource.ts";

/** Options of the status functions. */
export interface FleetStatusOptions {
  readonly replica: Replica;
  readonly view: FleetView;
  readonly getResources: () => ResourceState;
  /** Name of this control VM. */
  readonly vm: string;
}

/**
 * Adds a status that explains where a resource's declared and live state differ.
 *
 * @param resource - The resource.
 * @param options - The accepted state and the fleet view.
 * @returns The resource with its status.
 * @throws Nothing.
 * @example
 * const item = withStatus(resource, options);
 */
export function withStatus(resource: Resource, options: FleetStatusOptions) {
  const state = options.getResources();
  const membership = options.view.getState();
  const explanations = explainResource(resource, { state, membership });
  return {
    ...resource,
    status: { inForce: explanations.length === 0, explanations },
  };
}

/**
 * Lists the live state of all entries or upstreams.
 *
 * @param kind - `entry` or `upstream`.
 * @param options - The accepted state and the fleet view.
 * @returns The items, or undefined for any other kind.
 * @throws Nothing.
 * @example
 * const entries = listLive("entry", options);
 */
export function listLive(
  kind: string,
  options: FleetStatusOptions,
): readonly unknown[] | undefined {
  const { view } = options;
  if (kind === "entry") return Object.values(view.getState().entries);
  if (kind !== "upstream") return undefined;
  return listResources(options.getResources(), "pool").flatMap((pool) =>
    pool.spec.upstreams.map((upstream) => ({
      ...upstream,
      pool: pool.name,
      vmState: view.getPlatformState(upstream.vm),
    }))
  );
}

/**
 * Gets the leader, the accepted revision, the revision in force on all entries,
 * and the entries that lag behind.
 *
 * @param options - The replica, the accepted resources and the fleet view.
 * @returns The status.
 * @throws Nothing.
 * @example
 * const { lagging } = getFleetStatus(options);
 */
export function getFleetStatus(options: FleetStatusOptions) {
  const { replica, view, getResources, vm } = options;
  const state = replica.getState();
  const { revision } = getResources();
  const live = Object.values(view.getState().entries)
    .filter((entry) => entry.listed);
  const lagging = live.filter((entry) => entry.revision < revision);
  return {
    leader: vm,
    term: state.term,
    commitIndex: state.commitIndex,
    acceptedRevision: revision,
    inForceRevision: Math.min(revision, ...live.map((entry) => entry.revision)),
    lagging: lagging.map((entry) => ({
      vm: entry.vm,
      revision: entry.revision,
    })),
    members: state.members.map((member) => ({
      ...member,
      matchIndex: member.id === state.selfId
        ? state.syncedIndex
        : state.peers[member.id]?.matchIndex ?? 0,
    })),
    entries: live.map((entry) => ({
      vm: entry.vm,
      place: entry.place,
      address: entry.address,
      revision: entry.revision,
      inFlight: entry.report.inFlight,
      leaving: entry.leaving,
    })),
    diskFull: replica.isDiskFull(),
  };
}
