/**
 * Chooses the path for the next run of a stream, and keeps suspected requests apart.
 *
 * @module
 */

import {
  type CallPathChoice,
  chooseCallPath,
  type ChooseCallPathOptions,
} from "./choose_call_path.ts";
import { listFirstUpstreams } from "./list_first_upstreams.ts";
import type { Call, ServingContext } from "./types.ts";

/** What the path has to avoid, and where a trial starts. */
export interface ChooseRunPathOptions extends ChooseCallPathOptions {
  /** Upstream at which the run has to start, if any. */
  readonly trialEngineId: string | undefined;
}

/**
 * Chooses the path of a run. When an upstream crashes, any of the requests that it had
 * just started may be the cause. If all of them were resumed at the same upstream it
 * would crash too, and the innocent ones would be suspected again (up to 49 requests
 * met this way within 3 s). Suspected requests are therefore sent to different
 * upstreams.
 *
 * @param call - The call.
 * @param context - The engines, the quarantine and the time.
 * @param options - What the path has to avoid, and where it has to start.
 * @returns The path, or why there is none.
 * @throws Nothing.
 * @example
 * const choice = chooseRunPath(call, context, { excluded, need, trialEngineId });
 */
export function chooseRunPath(
  call: Call,
  context: ServingContext,
  options: ChooseRunPathOptions,
): CallPathChoice {
  const { excluded, need, trialEngineId } = options;
  if (trialEngineId !== undefined) {
    const others = listFirstUpstreams(call, context)
      .map(({ record }) => record.engineId)
      .filter((id) => id !== trialEngineId);
    const avoided = new Set([...excluded, ...others]);
    return chooseCallPath(call, context, { need, excluded: avoided });
  }
  if (context.quarantine.isSuspect(call)) {
    const usedEngineIds = context.quarantine.listWithRecentSuspects(call);
    const avoided = new Set([...excluded, ...usedEngineIds]);
    const separateChoice = chooseCallPath(call, context, {
      need,
      excluded: avoided,
    });
    if (separateChoice.type === "path") return separateChoice;
  }
  return chooseCallPath(call, context, { need, excluded });
}
