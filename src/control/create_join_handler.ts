/**
 * Handles the join request of a replica with a new data folder, or of one that has been
 * removed while it was down.
 *
 * @module
 */

import type { Member } from "../quorum/index.ts";
import type { StorageIdentity } from "../storage/index.ts";
import { isDialable, type wire } from "../wire/index.ts";
import type { Replica } from "./create_replica.ts";

/** Options of {@link createJoinHandler}. */
export interface CreateJoinHandlerOptions {
  readonly fleetId: string;
  readonly replica: Replica;
  readonly getIdentity: () => StorageIdentity;
  readonly getLeaderAddress: () => string;
  /** Whether a VM is allowed to run a replica. */
  readonly isKnownVm: (vm: string) => boolean;
  /** Tells which cluster this replica can form; by default none. */
  readonly getFormation?: () => ClusterFormation;
}

/** What a replica tells others that look for a cluster, or for peers to form one with. */
export interface ClusterFormation {
  /**
   * Id of the cluster that the replica would form with its seeds, or has formed with
   * them without any election since; empty where it can't form one.
   */
  readonly formableClusterId: string;
  /** Whether it had no cluster when its process started. */
  readonly startedEmpty: boolean;
}

const NO_FORMATION: ClusterFormation = {
  formableClusterId: "",
  startedEmpty: false,
};

/**
 * Creates the handler of join requests.
 *
 * Only the leader accepts a request; other replicas name the leader's address.
 *
 * @param options - The replica, and which VMs may join.
 * @returns A function that resolves with the response to a request.
 * @throws Nothing.
 * @example
 * const handleJoin = createJoinHandler(options);
 */
export function createJoinHandler(
  options: CreateJoinHandlerOptions,
): (request: wire.JoinRequest) => Promise<wire.JoinResponse> {
  const { fleetId, replica, getFormation = () => NO_FORMATION } = options;
  return async (request) => {
    const state = replica.getState();
    const { clusterId } = options.getIdentity();
    const leaderAddress = options.getLeaderAddress();
    const reject = (reason: string): wire.JoinResponse => ({
      clusterId,
      accepted: false,
      leaderAddress,
      reason,
      ...getFormation(),
    });
    if (request.fleetId !== fleetId) return reject("other_fleet");
    // Its log belongs to the other cluster.
    const isOther = request.clusterId !== "" && request.clusterId !== clusterId;
    if (isOther) return reject("other_cluster");
    if (!options.isKnownVm(request.vm)) return reject("unknown_vm");
    if (!isDialable(request.address)) return reject("bad_address");
    if (state.role !== "leader") return reject("not_leader");
    const isMember = state.members.some((m) => m.id === request.replicaId);
    if (!isMember) {
      try {
        await replica.changeMembers(addMember(state.members, request));
      } catch {
        return reject("busy");
      }
    }
    return {
      clusterId,
      accepted: true,
      leaderAddress,
      reason: "",
      ...NO_FORMATION,
    };
  };
}

// A VM that returns under a new identity has lost its stored state. Unless its
// old identity is a voter, that identity is removed at once.
function addMember(
  members: readonly Member[],
  request: wire.JoinRequest,
): Member[] {
  const { replicaId: id, vm, address, isObserver } = request;
  const remaining = members.filter((member) =>
    member.role === "voter" || member.vm !== vm
  );
  return [
    ...remaining,
    { id, vm, address, role: isObserver ? "observer" : "learner" },
  ];
}
