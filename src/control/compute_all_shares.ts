/**
 * The shares of all client accounts' rates, by entry.
 *
 * @module
 */

import { computeLeasedShares, type EntryDemand } from "../limits/index.ts";
import type { MembershipState } from "../membership/index.ts";
import type {
  AccountShare,
  AccountShares,
  ClientAccountSpec,
} from "../model/index.ts";
import { listResources, type ResourceState } from "../resources/index.ts";

/**
 * Computes what each live entry may use of each client account's rate.
 *
 * @param state - The accepted state.
 * @param membership - The membership with the entries' reports.
 * @returns Shares by entry and client account.
 * @throws Nothing.
 * @example
 * const shares = computeAllShares(state, membership);
 */
export function computeAllShares(
  state: ResourceState,
  membership: MembershipState,
): Record<string, AccountShares> {
  const entries = Object.values(membership.entries)
    .filter((entry) => entry.listed);
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
