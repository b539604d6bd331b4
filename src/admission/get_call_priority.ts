/**
 * Determines how urgent a request is.
 *
 * @module
 */

import type { Account, Route } from "../routes/index.ts";

/**
 * A priority; lower numbers are more urgent. The first number decides: the client
 * account's priority, or the route's where the account has none. The second one, the
 * route's, orders requests whose first number is equal.
 */
export type CallPriority = readonly [deciding: number, ofRoute: number];

/** What the priority of a request depends on. */
export interface GetCallPriorityOptions {
  readonly route: Pick<Route, "priority">;
  /** Client account of the request; undefined if it has none. */
  readonly account: Pick<Account, "priority"> | undefined;
}

/**
 * Gets the priority of a request.
 *
 * @param options - The route and the client account of the request.
 * @returns The priority.
 * @throws Nothing.
 * @example
 * const priority = getCallPriority({ route, account });
 */
export function getCallPriority(
  options: GetCallPriorityOptions,
): CallPriority {
  const { route, account } = options;
  return [account?.priority ?? route.priority, route.priority];
}
