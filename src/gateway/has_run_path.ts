/**
 * Whether a run of a call could start now.
 *
 * @module
 */

import {
  chooseCallPath,
  type ChooseCallPathOptions,
} from "./choose_call_path.ts";
import type { Call, ServingContext } from "./types.ts";

/** The link between data centres is not used up by a search whose path isn't taken. */
const NO_LINK_BUDGET: ServingContext["linkBudget"] = {
  take: () => false,
  giveBack: () => {},
};

/**
 * Searches for a path without taking it: neither the link's budget nor the metrics
 * count the search.
 *
 * @param call - The call.
 * @param context - The engines and the time.
 * @param options - What the path has to avoid and to provide.
 * @returns Whether there is one.
 * @throws Nothing.
 * @example
 * if (hasRunPath(call, context, { excluded, need })) run.abort(reason);
 */
export function hasRunPath(
  call: Call,
  context: ServingContext,
  options: ChooseCallPathOptions,
): boolean {
  const { type } = chooseCallPath(
    call,
    {
      ...context,
      linkBudget: NO_LINK_BUDGET,
      metrics: { ...context.metrics, count: () => {} },
    },
    options,
  );
  return type === "path";
}
