/**
 * What is done about a stream that stands still.
 *
 * @module
 */

import { findDetour } from "./choose_call_path.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/** A run that gives no events. */
export interface RescueStreamOptions {
  readonly path: readonly AddressedPart[];
  /** Engines that failed this call. */
  readonly excluded: ReadonlySet<string>;
}

/** What a look at a silent stream came to. */
export type StreamRescue =
  /** Nothing stands still: the engines are busy. */
  | { readonly type: "wait" }
  /** The run goes on over this path. */
  | { readonly type: "moved"; readonly path: readonly AddressedPart[] }
  /** The run is lost; this engine is at fault. */
  | {
    readonly type: "lost";
    readonly engineId: string;
    readonly reason: string;
  };

/** Ms for an order to an engine, which answers at once. */
const ORDER_TIMEOUT_MS = 400;

/**
 * Asks the first engine of a silent run for whom it waits, and moves the run
 * off that engine where another one near by holds the same layers.
 *
 * @param call - The call.
 * @param context - The engines, and how they are asked.
 * @param options - The run.
 * @returns What it came to.
 * @throws Nothing.
 * @example
 * const rescue = await rescueStream(call, context, { path, excluded });
 */
export async function rescueStream(
  call: Call,
  context: ServingContext,
  options: RescueStreamOptions,
): Promise<StreamRescue> {
  const [first] = options.path;
  const { requestId } = call.request;
  let stalledAt: string | undefined;
  try {
    const stalled = await context.stallWatch.ask(first);
    stalledAt = stalled.find((one) => one.requestId === requestId)?.address;
  } catch (error) {
    const { engineId } = first;
    context.log("engineAsked", { requestId, engineId, error });
    return { type: "lost", engineId, reason: "gives no report" };
  }
  if (stalledAt === undefined) return { type: "wait" };
  return await moveOff(stalledAt, { call, context, run: options });
}

async function moveOff(
  address: string,
  options: { call: Call; context: ServingContext; run: RescueStreamOptions },
): Promise<StreamRescue> {
  const { call, context, run } = options;
  const [first] = run.path;
  const dead = run.path.find((part) => part.address === address) ?? first;
  const { engineId } = dead;
  const path = await changePath(call, context, { ...run, engineId });
  if (!path) return { type: "lost", engineId, reason: "stands still" };
  context.engines.suspect(engineId, "stands still");
  return { type: "moved", path };
}

/** A run, and the engine that it is to leave. */
interface LeaveEngineOptions extends RescueStreamOptions {
  readonly engineId: string;
}

// The other way that a run goes from now on; undefined where there is none, or
// where its engines did not take it.
async function changePath(
  call: Call,
  context: ServingContext,
  options: LeaveEngineOptions,
): Promise<AddressedPart[] | undefined> {
  const [first] = options.path;
  const { engineId } = options;
  const { requestId } = call.request;
  // To move is to run on other engines: only what may run anywhere does.
  if (context.quarantine.judge(call.requestKey).type !== "free") return;
  // An order to a first engine that has asked for a back-off would be one more thing that reaches
  // it: the stream goes on elsewhere, which frees its place there.
  if (context.notices.getBackOffLeftMs(first.engineId) > 0) return;
  const excluded = new Set([...options.excluded, engineId]);
  const path = engineId === first.engineId
    ? undefined
    : findDetour(call, context, { path: options.path, excluded });
  const moved = path !== undefined && await context.engineControl
    .changePath(first.address, {
      requestId,
      path,
      timeoutMs: ORDER_TIMEOUT_MS,
      onNotice: (notice) => context.notices.take(first.engineId, notice),
    });
  context.log("pathChanged", { requestId, dead: engineId, moved });
  return moved ? path : undefined;
}

/**
 * Moves a run off an engine that leaves or is lost; what the others keep of the
 * stream stays. The first engine of a path can't be left so.
 *
 * @param call - The call.
 * @param context - The engines, and how they are asked.
 * @param options - The run and the engine that it is to leave.
 * @returns The path over which it goes on, or undefined where nothing changed.
 * @throws Nothing.
 * @example
 * const path = await moveOffEngine(call, context, { path, excluded, engineId });
 */
export async function moveOffEngine(
  call: Call,
  context: ServingContext,
  options: LeaveEngineOptions,
): Promise<readonly AddressedPart[] | undefined> {
  const [first] = options.path;
  if (first.engineId === options.engineId) return undefined;
  return await changePath(call, context, options);
}
