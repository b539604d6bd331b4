/**
 * How the leader takes in a replica with a new data folder.
 *
 * @module
 */

import type { Member } from "../quorum/index.ts";
import type { StorageIdentity } from "../storage/index.ts";
import type { wire } from "../wire/index.ts";
import type { Replica } from "./create_replica.ts";

/** What the handler needs of its program. */
export interface CreateJoinHandlerOptions {
  readonly fleetId: string;
  readonly replica: Replica;
  readonly getIdentity: () => StorageIdentity;
  readonly getLeaderAddress: () => string;
  /** Whether a VM may hold a replica. */
  readonly isKnownVm: (vm: string) => boolean;
}

/**
 * Makes the handler of join requests.
 *
 * @param options - The replica and who may join.
 * @returns A function that answers a request.
 * @throws Nothing.
 * @example
 * const takeJoin = createJoinHandler(options);
 */
export function createJoinHandler(
  options: CreateJoinHandlerOptions,
): (request: wire.JoinRequest) => Promise<wire.JoinResponse> {
  const { fleetId, replica } = options;
  return async (request) => {
    const state = replica.getState();
    const { clusterId } = options.getIdentity();
    const leaderAddress = options.getLeaderAddress();
    const refuse = (reason: string): wire.JoinResponse => ({
      clusterId,
      accepted: false,
      leaderAddress,
      reason,
    });
    if (request.fleetId !== fleetId) return refuse("other_fleet");
    if (!options.isKnownVm(request.vm)) return refuse("unknown_vm");
    if (state.role !== "leader") return refuse("not_leader");
    const known = state.members.some((m) => m.id === request.replicaId);
    if (!known) {
      try {
        await replica.changeMembers(addMember(state.members, request));
      } catch {
        return refuse("busy");
      }
    }
    return { clusterId, accepted: true, leaderAddress, reason: "" };
  };
}

// A VM that comes back under another identity has lost what it held: where it
// did not vote, its old identity goes at once.
function addMember(
  members: readonly Member[],
  request: wire.JoinRequest,
): Member[] {
  const { replicaId: id, vm, address, isObserver } = request;
  const staying = members.filter((one) =>
    one.role === "voter" || one.vm !== vm
  );
  return [
    ...staying,
    { id, vm, address, role: isObserver ? "observer" : "learner" },
  ];
}
