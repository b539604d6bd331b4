/**
 * Errors of gateways.
 *
 * @module
 */

import ModernError from "modern-errors";
import type { UpstreamLimitsSettings } from "../settings/index.ts";

/** A limit on what an upstream may send. */
export type UpstreamLimit = keyof UpstreamLimitsSettings;

/** Base class of the errors of gateways. */
export const GatewayError = ModernError.subclass("GatewayError");

/** An upstream has sent more than a limit allows. */
export const UpstreamLimitError = GatewayError.subclass("UpstreamLimitError", {
  props: { limit: undefined as UpstreamLimit | undefined },
});

/**
 * Gets the limit that an upstream has exceeded.
 *
 * @param error - Any error.
 * @returns The limit, or undefined if the error is not an {@link UpstreamLimitError}.
 * @throws Nothing.
 * @example
 * const limit = getExceededLimit(error);
 */
export function getExceededLimit(error: unknown): UpstreamLimit | undefined {
  if (!(error instanceof UpstreamLimitError)) return undefined;
  return (error as { limit?: UpstreamLimit }).limit;
}
