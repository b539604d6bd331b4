/**
 * The checks of a schedule of losses.
 *
 * @module
 */

import type { LogEntry } from "../src/quorum/index.ts";
import { getLastIndex } from "../src/quorum/index.ts";
import type { LossMachine } from "./loss_machine.ts";

/** Options of {@link createLossChecks}. */
export interface LossChecksOptions {
  /** Virtual time, in ms. */
  readonly now: () => number;
  readonly machines: readonly LossMachine[];
  readonly fail: (what: string) => never;
}

/** Checks of the machines. */
export interface LossChecks {
  /** Checks that a term has one leader. */
  checkLeader(id: string, term: number): void;
  /** Checks that all replicas apply the same entries. */
  checkApplied(id: string, entry: LogEntry): void;
  /** Checks what has to hold at any time. */
  checkStep(): void;
  /** Counts the further losses after which the running voters are a majority. */
  countTolerated(): number;
  /** The replica that holds the lease of the leader. */
  findLeader(): LossMachine | undefined;
  /** The highest index that a leader has acknowledged. */
  getAcknowledged(): number;
}

/** Longest time for which a running machine may be no member. */
const MAX_OUTSIDE_MS = 4_000;

/** Longest time without a leader, from an outage of all machines on. */
const MAX_LEADERLESS_MS = 8_000;

/** Creates the checks. */
export function createLossChecks(options: LossChecksOptions): LossChecks {
  const { now, machines, fail } = options;
  const leaders = new Map<number, string>();
  const applied = new Map<number, string>();
  const outsideSinceMs = new Map<string, number>();
  let acknowledgedIndex = 0;
  let lastLeaderMs = 0;

  const listLeaders = () =>
    machines.filter((one) => one.isRunning() && one.hasLease());
  // A leader that is cut off keeps its lease for a moment.
  const findLeader = () => {
    const holders = listLeaders();
    return holders.find((one) => one.getPartition() === 0) ?? holders[0];
  };

  function checkAcknowledged(leader: LossMachine): void {
    const { commitIndex } = leader.getReplica().getState();
    if (commitIndex < acknowledgedIndex) fail("an acknowledged entry was lost");
    acknowledgedIndex = commitIndex;
  }

  function checkMembers(leader: LossMachine | undefined): void {
    const members = leader?.getReplica().getState().members ?? [];
    for (const machine of machines) {
      const { id } = machine.getReplica();
      const isMember = members.some((member) => member.id === id);
      const isReached = machine.getPartition() === leader?.getPartition();
      if (!leader || !machine.isRunning() || isMember || !isReached) {
        outsideSinceMs.delete(id);
        continue;
      }
      const sinceMs = outsideSinceMs.get(id) ?? now();
      outsideSinceMs.set(id, sinceMs);
      if (now() - sinceMs > MAX_OUTSIDE_MS) fail(`${id} runs as no member`);
    }
  }

  // Without a leader, the longest log of the newest term tells the members.
  function findNewest(): LossMachine | undefined {
    const running = machines
      .filter((one) => one.isRunning() && one.getPartition() === 0);
    const getOrder = (one: LossMachine) => {
      const state = one.getReplica().getState();
      return [state.log.at(-1)?.term ?? 0, getLastIndex(state)];
    };
    return findLeader() ?? running.sort((a, b) => {
      const [[termA, lastA], [termB, lastB]] = [getOrder(a), getOrder(b)];
      return termB - termA || lastB - lastA;
    })[0];
  }

  return {
    findLeader,
    getAcknowledged: () => acknowledgedIndex,
    checkLeader(id, term) {
      const earlier = leaders.get(term) ?? id;
      if (earlier !== id) {
        fail(`two leaders in term ${term}: ${earlier} and ${id}`);
      }
      leaders.set(term, id);
    },
    checkApplied(id, entry) {
      const text = JSON.stringify(entry);
      const earlier = applied.get(entry.index) ?? text;
      if (earlier !== text) {
        fail(`${id} applied a different entry at ${entry.index}`);
      }
      applied.set(entry.index, text);
    },
    checkStep() {
      const holders = listLeaders();
      if (holders.length > 1) {
        fail(`two leases: ${holders.map(({ vm }) => vm).join(" and ")}`);
      }
      const leader = holders[0];
      if (leader) {
        checkAcknowledged(leader);
        lastLeaderMs = now();
      } else if (now() - lastLeaderMs > MAX_LEADERLESS_MS) {
        fail("no leader any more");
      }
      checkMembers(leader);
    },
    countTolerated() {
      const members = findNewest()?.getReplica().getState().members ?? [];
      const voters = members.filter(({ role }) => role === "voter");
      const running = voters.filter(({ id }) =>
        machines.some((one) =>
          one.getReplica().id === id && one.isRunning() &&
          one.getPartition() === 0
        )
      );
      return running.length - (Math.floor(voters.length / 2) + 1);
    },
  };
}
