/**
 * Collects the priorities that requests of each service can have.
 *
 * @module
 */

import {
  type CallPriority,
  comparePriorities,
  getCallPriority,
} from "../../admission/index.ts";
import type { Account, Route, RouteConfig } from "../schemas.ts";

/**
 * Collects the distinct priorities of each service: one for each pair of a route to the
 * service and a client account that may use the route, or no account.
 *
 * @param config - A valid configuration.
 * @returns The priorities by service, the most urgent first.
 * @throws Nothing.
 * @example
 * const priorities = collectPriorities(config).get("model") ?? [];
 */
export function collectPriorities(
  config: Pick<RouteConfig, "routes" | "accounts">,
): ReadonlyMap<string, readonly CallPriority[]> {
  const accounts = listDistinctAccounts(config.accounts);
  const needsKeys = config.accounts.length > 0;
  return new Map(
    [...groupDistinctRoutes(config.routes)].map(([service, routes]) => {
      const priorities = routes.flatMap((route) => {
        const needsAccount = needsKeys && !route.isAnonymous;
        const callers = needsAccount ? accounts : [undefined, ...accounts];
        return callers.map((account) => getCallPriority({ route, account }));
      });
      const distinct = new Map(priorities.map((one) => [one.join(), one]));
      return [service, [...distinct.values()].sort(comparePriorities)] as const;
    }),
  );
}

/** Lists one account for each priority, and one without if there are such accounts. */
function listDistinctAccounts(
  accounts: readonly Account[],
): readonly Pick<Account, "priority">[] {
  const priorities = new Set(accounts.map(({ priority }) => priority));
  return [...priorities].map((priority) => ({ priority }));
}

// Configurations have thousands of routes, and few of them differ in what counts here.
function groupDistinctRoutes(
  routes: readonly Route[],
): ReadonlyMap<string, readonly Route[]> {
  const byService = new Map<string, Map<string, Route>>();
  for (const route of routes) {
    for (const { service, weight } of route.targets) {
      // A target without weight gets no requests.
      if (weight === 0) continue;
      const known = byService.get(service) ?? new Map<string, Route>();
      byService.set(service, known.set(getKind(route), route));
    }
  }
  return new Map(
    [...byService].map(([service, known]) => [service, [...known.values()]]),
  );
}

function getKind({ priority, isAnonymous }: Route): string {
  return `${priority} ${isAnonymous}`;
}
