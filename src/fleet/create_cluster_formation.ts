/**
 * Finds out whether this process can form a cluster with its seeds.
 *
 * @module
 */

import type { ClusterFormation, Replica } from "../control/index.ts";
import type { QuorumStorage } from "../storage/index.ts";
import { canFormCluster } from "./can_form_cluster.ts";
import type { FleetSeed } from "./open_fleet_storage.ts";
import { planInitialCluster } from "./plan_initial_cluster.ts";

/** Options of {@link createClusterFormation}. */
export interface CreateClusterFormationOptions {
  /** This process as others know it. */
  readonly self: FleetSeed;
  readonly hasDisk: boolean;
  readonly storage: Pick<QuorumStorage, "identity">;
  readonly replica: Pick<Replica, "getState">;
  /** Whether the data folder had no cluster when the process started. */
  readonly startedEmpty: boolean;
  /** Number of machines that may be lost at a time. */
  readonly toleratedLosses: number;
  readonly getSeeds: () => readonly FleetSeed[];
}

/** Finds out whether this process can form a cluster with its seeds. */
export interface ClusterFormationCheck {
  /** What this process tells others that look for a cluster. */
  getFormation(): ClusterFormation;
  /**
   * Returns the seeds if the responses of other processes, by their peer address, show
   * that this one has to form a cluster with them; undefined otherwise.
   */
  findFormableSeeds(
    answers: ReadonlyMap<string, ClusterFormation>,
  ): readonly FleetSeed[] | undefined;
}

/**
 * Creates the check.
 *
 * @param options - This process, its storage and replica, and its seeds.
 * @returns The check.
 * @throws Nothing.
 * @example
 * const { getFormation } = createClusterFormation(options);
 */
export function createClusterFormation(
  options: CreateClusterFormationOptions,
): ClusterFormationCheck {
  const { self, storage, replica, startedEmpty, toleratedLosses } = options;
  const hasCluster = () => storage.identity.clusterId !== "";

  // A voter that has taken part in an election has stored its term; where that was
  // damaged, its identity says so.
  function isUnused(): boolean {
    const { term, log, snapshot } = replica.getState();
    const { isReplacement = false } = storage.identity;
    return options.hasDisk && !isReplacement && term === 0 &&
      log.length + snapshot.index === 0;
  }

  function getFormableClusterId(): string {
    if (!isUnused()) return "";
    const { clusterId } = storage.identity;
    if (!hasCluster()) return planInitialCluster(options.getSeeds()).clusterId;
    const { members, selfId } = replica.getState();
    const isVoter = members.some(({ id, role }) =>
      id === selfId && role === "voter"
    );
    return isVoter ? clusterId : "";
  }

  return {
    getFormation: () => ({
      formableClusterId: getFormableClusterId(),
      startedEmpty,
    }),
    findFormableSeeds(answers) {
      if (hasCluster() || !isUnused()) return undefined;
      const seeds = options.getSeeds();
      const canForm = canFormCluster({ self, seeds, answers, toleratedLosses });
      return canForm ? seeds : undefined;
    },
  };
}
