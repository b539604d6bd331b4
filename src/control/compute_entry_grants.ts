/**
 * What the leader grants to each entry.
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
 * Computes what each live entry may use: its shares of the client accounts'
 * limits and its place on the ring of each pool's capacity.
 *
 * @param state - The accepted state.
 * @param membership - The membership with the entries' reports.
 * @returns The grant of each entry.
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
  const rates = computeLeasedShares(requestsPerS ?? 0, demands);
  const totalPerS = demands.reduce(
    (sum, { demandPerS }) => sum + demandPerS,
    0,
  );
  // Requests in flight follow the demand: who asks for more, runs more.
  const places = computeLeasedShares(
    maxInFlight ?? 0,
    demands.map(({ entry, demandPerS }) => ({
      entry,
      demandPerS: totalPerS === 0
        ? 0
        : (demandPerS / totalPerS) * (maxInFlight ?? 0),
    })),
  );
  return demands.map(({ entry }) => [entry, {
    ...(requestsPerS === undefined ? {} : { requestsPerS: rates[entry] }),
    ...(maxInFlight === undefined
      ? {}
      : { maxInFlight: Math.max(1, Math.floor(places[entry])) }),
  }]);
}
