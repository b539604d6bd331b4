/**
 * The refusal of a stream that no upstream can take in time.
 *
 * @module
 */

import { hasRunPath } from "./has_run_path.ts";
import type { Refusal } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** Why the stream is refused, and what it needs. */
export interface CreateCapacityRefusalOptions {
  /** Whether it waited for capacity, rather than for a path or for retry budget. */
  readonly isFull: boolean;
  /** Tokens that it takes on each engine of its path. */
  readonly tokens: number;
}

/**
 * Creates the refusal, assigns its caller a time to return, and records it, so that the
 * request goes before new ones of its rank when it returns on time for a reserved slot. The reason is `overload`
 * where the most urgent requests of the service still find capacity.
 *
 * @param call - The call; it has not run.
 * @param context - The engines, the schedule of retries and the refused requests.
 * @param options - Why the stream is refused, and what it needs.
 * @returns The refusal.
 * @throws Nothing.
 * @example
 * callEnd.refuse(createCapacityRefusal(call, context, { isFull: true, tokens }));
 */
export function createCapacityRefusal(
  call: Call,
  context: ServingContext,
  options: CreateCapacityRefusalOptions,
): Refusal {
  const { service, rank, requestKey } = call;
  const slot = context.retryAfterSchedule.takeSlot(service, { rank });
  const { waitMs: retryAfterMs, isReserved } = slot;
  context.returnLog.noteRefused(requestKey, { retryAfterMs, isReserved });
  const isOverload = options.isFull && rank > 0 &&
    context.urgentCapacity.isLeft(service, hasUrgentPath);
  const reason = isOverload ? "overload" : "no_upstream";
  return { status: 503, reason, retryAfterMs };

  // Without a share of its own, a request may fill what the most urgent ones may.
  function hasUrgentPath(): boolean {
    return hasRunPath(call, context, {
      excluded: new Set(),
      need: { tokens: options.tokens, isNew: true },
    });
  }
}
