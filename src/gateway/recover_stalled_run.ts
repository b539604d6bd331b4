/**
 * Recovers a stream whose run is stalled by moving it off the stalled engine.
 *
 * @module
 */

import { isPartKey } from "../quarantine/index.ts";
import { findAlternatePath } from "./choose_call_path.ts";
import type { AddressedPart } from "./protocol.ts";
import type { Call, ServingContext } from "./types.ts";

/**
 * Paths that are tried for one move. Engines that fail together are found one after the
 * other, so a first new path often contains another one of them; its rejection names it.
 */
const MAX_PATH_ATTEMPTS = 4;

/** A run that produces no events. */
export interface RecoverStalledRunOptions {
  readonly path: readonly AddressedPart[];
  /** Engines excluded for this call because they failed it. */
  readonly excluded: ReadonlySet<string>;
}

/** Result of checking a silent stream. */
export type StallRecovery =
  /** The request is not stalled: the engines are busy. */
  | { readonly type: "wait" }
  /** The run continues over this path. */
  | { readonly type: "moved"; readonly path: readonly AddressedPart[] }
  /** The run has failed because of this engine. */
  | {
    readonly type: "lost";
    readonly engineId: string;
    readonly reason: string;
    /** Whether the reason is a missing answer. */
    readonly isUnanswered: boolean;
  };

/** Time-out, in ms, of a command to an engine; engines answer these at once. */
const COMMAND_TIMEOUT_MS = 400;

/**
 * Asks the first engine of a silent run which engine it is waiting for, and moves
 * the run off that engine if another one nearby holds the same layers.
 *
 * @param call - The call.
 * @param context - The engines and their control interface.
 * @param options - The run.
 * @returns Whether the run waits, was moved or has failed.
 * @throws Nothing.
 * @example
 * const recovery = await recoverStalledRun(call, context, { path, excluded });
 */
export async function recoverStalledRun(
  call: Call,
  context: ServingContext,
  options: RecoverStalledRunOptions,
): Promise<StallRecovery> {
  const [first] = options.path;
  const { requestId } = call.request;
  let stalledAddress: string | undefined;
  try {
    const stalled = await context.stallReports.read(first);
    stalledAddress = stalled.find((one) => one.requestId === requestId)
      ?.address;
  } catch (error) {
    const { engineId } = first;
    context.log("engineAsked", { requestId, engineId, error });
    const reason = "gives no report";
    return { type: "lost", engineId, reason, isUnanswered: true };
  }
  if (stalledAddress === undefined) return { type: "wait" };
  return await moveOffStalled(stalledAddress, { call, context, run: options });
}

async function moveOffStalled(
  address: string,
  options: {
    call: Call;
    context: ServingContext;
    run: RecoverStalledRunOptions;
  },
): Promise<StallRecovery> {
  const { call, context, run } = options;
  const stalledPart = run.path.find((part) => part.address === address);
  // Reports are shared for a moment, so this one may be older than the run's last move.
  if (!stalledPart) return { type: "wait" };
  const { engineId } = stalledPart;
  const path = await reroute(call, context, { ...run, engineId });
  if (!path) {
    const reason = "stands still";
    return { type: "lost", engineId, reason, isUnanswered: false };
  }
  context.engines.suspect(engineId, "stands still");
  return { type: "moved", path };
}

/** A run, and the engine that it has to leave. */
interface LeaveEngineOptions extends RecoverStalledRunOptions {
  readonly engineId: string;
}

// A moved run starts on other engines, which a request in quarantine may not do. The
// first engine stays, so a part that awaits its trial does not keep the run from moving.
function mayMove(call: Call, { quarantine }: ServingContext): boolean {
  const verdict = quarantine.judge(call);
  return verdict.type === "free" ||
    (verdict.type === "trial" && isPartKey(verdict.requestKey));
}

// Returns the new path of the run, or undefined if there is none or if its first
// engine rejected it.
async function reroute(
  call: Call,
  context: ServingContext,
  options: LeaveEngineOptions,
): Promise<AddressedPart[] | undefined> {
  const [first] = options.path;
  const { engineId } = options;
  const { requestId } = call.request;
  if (!mayMove(call, context)) return;
  if (engineId === first.engineId) return;
  const missing: string[] = [];
  for (let attempt = 1; attempt <= MAX_PATH_ATTEMPTS; attempt++) {
    // The command would be one more request to a first engine that has asked for a
    // back-off. The stream resumes on other engines instead, which frees its slot there.
    if (context.notices.getBackOffLeftMs(first.engineId) > 0) return;
    const excluded = new Set([...options.excluded, engineId, ...missing]);
    const path = findAlternatePath(call, context, {
      path: options.path,
      excluded,
    });
    const answer = path && await context.engineControl
      .changePath(first.address, {
        requestId,
        path,
        timeoutMs: COMMAND_TIMEOUT_MS,
        onNotice: (notice) => context.notices.record(first.engineId, notice),
      });
    const { isAccepted = false, missingAddress } = answer ?? {};
    context.log("pathChanged", {
      requestId,
      dead: engineId,
      moved: isAccepted,
      hasPath: path !== undefined,
      missingAddress,
      attempt,
    });
    if (isAccepted) return path;
    const missingPart = path?.find(({ address }) => address === missingAddress);
    if (!missingPart) return;
    missing.push(missingPart.engineId);
  }
}

/**
 * Moves a run off an engine that is leaving or has failed. The other engines of the
 * path keep their state of the stream. A run can't be moved off its first engine.
 *
 * @param call - The call.
 * @param context - The engines and their control interface.
 * @param options - The run and the engine that it has to leave.
 * @returns The path over which the run continues, or undefined if it was not moved.
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
  return await reroute(call, context, options);
}
