/**
 * Computes the quotas that the leader grants to each entry.
 *
 * @module
 */

import { computeLeasedShares, type EntryDemand } from "../limits/index.ts";
import type { EntryMember, MembershipState } from "../membership/index.ts";
import type {
  AccountShare,
  AccountShares,
  ClientAccountSpec,
  EntryGrant,
  PoolInterval,
} from "../model/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";
import { computeEntryIntervals } from "../routing/index.ts";

/**
 * Computes what each listed entry may use: its share of every client account's
 * limits and its interval on the ring of each pool's capacity.
 *
 * @param state - The accepted resources.
 * @param membership - The membership, including each entry's latest report.
 * @returns The grants, keyed by the entry's VM.
 * @throws Nothing.
 * @example
 * const grants = computeEntryGrants(state, membership);
 */
export function computeEntryGrants(
  state: ResourceState,
  membership: MembershipState,
): Record<string, EntryGrant> {
  const entries = Object.values(membership.entries)
    .filter((entry) => entry.listed);
  const accounts = computeAccountShares(state, entries);
  const intervals = computePoolIntervals(state, entries);
  return Object.fromEntries(entries.map(({ vm }) => [vm, {
    accounts: accounts[vm],
    intervals: intervals[vm],
  }]));
}

function computePoolIntervals(
  state: ResourceState,
  entries: readonly EntryMember[],
): Record<string, Record<string, PoolInterval>> {
  const result: Record<string, Record<string, PoolInterval>> = Object
    .fromEntries(entries.map(({ vm }) => [vm, {}]));
  for (const pool of listResources(state, "pool")) {
    const loads = entries.map(({ vm, report }) => ({
      entry: vm,
      demandPerS: report.poolDemandPerS[pool.name] ?? 0,
    }));
    const intervals = computeEntryIntervals(loads);
    for (const { vm } of entries) result[vm][pool.name] = intervals[vm];
  }
  return result;
}

function computeAccountShares(
  state: ResourceState,
  entries: readonly EntryMember[],
): Record<string, AccountShares> {
  const shares: Record<string, Record<string, AccountShare>> = Object
    .fromEntries(entries.map((entry) => [entry.vm, {}]));
  for (const account of listResources(state, "clientAccount")) {
    const demands = entries.map((entry) => ({
      entry: entry.vm,
      demandPerS: entry.report.demandPerS[account.name] ?? 0,
    }));
    for (const [vm, share] of divideAccount(account.spec, demands)) {
      shares[vm][account.name] = share;
    }
  }
  return shares;
}

function divideAccount(
  spec: ClientAccountSpec,
  demands: readonly EntryDemand[],
): (readonly [string, AccountShare])[] {
  const { requestsPerS, maxInFlight } = spec;
  if (requestsPerS === undefined && maxInFlight === undefined) return [];
  const rateShares = computeLeasedShares(requestsPerS ?? 0, demands);
  const totalPerS = demands.reduce(
    (sum, { demandPerS }) => sum + demandPerS,
    0,
  );
  // Divides the in-flight limit in proportion to demand, since an entry with a
  // higher request rate also has more requests in flight.
  const inFlightShares = computeLeasedShares(
    maxInFlight ?? 0,
    demands.map(({ entry, demandPerS }) => ({
      entry,
      demandPerS: totalPerS === 0
        ? 0
        : (demandPerS / totalPerS) * (maxInFlight ?? 0),
    })),
  );
  return demands.map(({ entry }) => [entry, {
    ...(requestsPerS === undefined ? {} : { requestsPerS: rateShares[entry] }),
    ...(maxInFlight === undefined
      ? {}
      : { maxInFlight: Math.max(1, Math.floor(inFlightShares[entry])) }),
  }]);
}
