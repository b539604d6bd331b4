/**
 * The runs of one stream: which are open, how many there were, and where the stream may
 * run again.
 *
 * @module
 */

import { createOpenRuns, type OpenRuns } from "./create_open_runs.ts";
import { createRunRecord, type RunRecord } from "./create_run_record.ts";
import { listFirstUpstreams } from "./list_first_upstreams.ts";
import type { ForwardedRun } from "./start_forwarded_stream.ts";
import type { StreamRun } from "./start_stream_run.ts";
import type { Call, ServingContext } from "./types.ts";

/** A run of a stream, at engines or at another gateway. */
export type OpenRun = StreamRun | ForwardedRun;

/** The runs of one stream. */
export interface StreamRuns extends OpenRuns<OpenRun> {
  /** The upstreams on which the stream has run. */
  readonly record: RunRecord;
  /** Number of runs that may have run the request. */
  getCount(): number;
  /** Records that a run may be running the request. */
  note(run: OpenRun): void;
  /** Records that an upstream rejected the request, which did not run there. */
  noteRejected(run: OpenRun): void;
  /** Whether the stream may run again while its open runs stay open. */
  mayRunAgain(): boolean;
  /** Engines at which no further run may start. */
  listSpentEngines(): readonly string[];
  listOpen(): readonly OpenRun[];
}

/**
 * Tells a run at another gateway from one at engines.
 *
 * @param run - The run.
 * @returns Whether another gateway runs it.
 * @throws Nothing.
 * @example
 * if (!isForwarded(run)) monitor(run);
 */
export function isForwarded(run: OpenRun): run is ForwardedRun {
  return "vm" in run;
}

/**
 * Creates the runs of one stream, none at first.
 *
 * @param call - The call.
 * @param context - The engines.
 * @returns The runs.
 * @throws Nothing.
 * @example
 * const runs = createStreamRuns(call, context);
 */
export function createStreamRuns(
  call: Call,
  context: ServingContext,
): StreamRuns {
  const open = createOpenRuns<OpenRun>();
  const counted = new Set<OpenRun>();
  const record = createRunRecord({
    maxAttempts: call.route.maxAttempts,
    engines: context.engines,
    livenessCheck: context.livenessCheck,
  });

  function listOpen(): OpenRun[] {
    const current = open.getCurrent();
    return [...open.listSetAside(), ...(current ? [current] : [])];
  }

  function listFirstEngines(runs: readonly OpenRun[]): string[] {
    return runs.flatMap(({ path: [first] }) => first ? [first.engineId] : []);
  }

  // An engine has one run of a request at a time.
  function listReusable(): string[] {
    const openIds = listFirstEngines(listOpen());
    return record.listReusable().filter((id) => !openIds.includes(id));
  }

  return {
    ...open,
    record,
    getCount: () => counted.size,
    note(run) {
      if (!isForwarded(run)) record.note(run.path[0]);
      else if (!counted.has(run)) record.noteElsewhere();
      counted.add(run);
    },
    noteRejected: (run) => void counted.delete(run),
    mayRunAgain: () => record.mayRunElsewhere() || listReusable().length > 0,
    listSpentEngines() {
      if (record.mayRunElsewhere()) return listFirstEngines(listOpen());
      const reusable = listReusable();
      return listFirstUpstreams(call, context)
        .map(({ record: { engineId } }) => engineId)
        .filter((engineId) => !reusable.includes(engineId));
    },
    listOpen,
  };
}
