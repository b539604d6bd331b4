/**
 * Looks up the layered model that a call uses.
 *
 * @module
 */

import type { LayeredModel } from "../routes/index.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Gets the layered model of a call's service.
 *
 * @param call - The call.
 * @param context - The current configuration.
 * @returns The model, or undefined where the service has none.
 * @throws Nothing.
 * @example
 * const model = getCallModel(call, context);
 */
export function getCallModel(
  call: Call,
  context: Pick<ServingContext, "getTable">,
): LayeredModel | undefined {
  return context.getTable()?.getService(call.service)?.model;
}
