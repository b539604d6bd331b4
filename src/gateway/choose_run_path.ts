/**
 * Chooses where a stream's next run goes, suspected requests apart from each other.
 *
 * @module
 */

import {
  type CallPathChoice,
  chooseCallPath,
  type ChooseCallPathOptions,
} from "./choose_call_path.ts";
import { listBeginners } from "./create_run_permit.ts";
import type { Call, ServingContext } from "./types.ts";

/** Who is left out, and where a trial begins. */
export interface ChooseRunPathOptions extends ChooseCallPathOptions {
  /** Upstream where the run has to begin, if any. */
  readonly trialEngineId: string | undefined;
}

/**
 * Chooses the path of a run. Of the requests that had just begun when an upstream
 * ended one may be at fault: where they all go on at the same upstream it ends too,
 * and the others are suspected again (up to 49 of them met so within 3 s).
 *
 * @param call - The call.
 * @param context - The engines, the quarantine and the time.
 * @param options - Who is left out, where it has to begin.
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
  const { requestKey } = call;
  if (trialEngineId !== undefined) {
    const others = listBeginners(call, context)
      .map(({ record }) => record.engineId)
      .filter((id) => id !== trialEngineId);
    const without = new Set([...excluded, ...others]);
    return chooseCallPath(call, context, { need, excluded: without });
  }
  if (context.quarantine.isSuspect(requestKey)) {
    const taken = context.quarantine.listTaken(requestKey);
    const without = new Set([...excluded, ...taken]);
    const apart = chooseCallPath(call, context, { need, excluded: without });
    if (apart.type === "path") return apart;
  }
  return chooseCallPath(call, context, { need, excluded });
}
