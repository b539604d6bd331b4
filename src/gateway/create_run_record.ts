/**
 * Records the upstreams on which a call has run.
 *
 * @module
 */

import type {
  LivenessCheck,
  UpstreamAddress,
} from "./create_liveness_check.ts";
import type { EngineTable } from "./create_engine_table.ts";

/** The limit on a call's upstreams, and how crashes are detected. */
export interface CreateRunRecordOptions {
  /** Number of upstreams on which the call may run. */
  readonly maxAttempts: number;
  readonly engines: Pick<EngineTable, "get" | "hasEnded" | "noteEnded">;
  readonly livenessCheck: LivenessCheck;
}

/** An upstream on which a call ran, for a log line. */
export interface DescribedRun {
  readonly engineId: string;
  readonly isRegistered: boolean;
  readonly hasEnded: boolean;
}

/** The upstreams on which one call has run. */
export interface RunRecord {
  /** Records that the call ran on an upstream. */
  note(upstream: UpstreamAddress): void;
  /** Records that the call ran on an upstream that only another gateway knows. */
  noteElsewhere(): void;
  /**
   * Whether the call may run on another upstream. Upstreams known to have crashed
   * don't count.
   */
  mayRunElsewhere(): boolean;
  /** Checks which of the upstreams have crashed; never rejects. */
  detectCrashes(): Promise<void>;
  describe(): readonly DescribedRun[];
}

/**
 * Creates an empty record for one call.
 *
 * @param options - How many upstreams it may run on, and how crashes are detected.
 * @returns The record.
 * @throws Nothing.
 * @example
 * const runRecord = createRunRecord({ maxAttempts, engines, livenessCheck });
 */
export function createRunRecord(options: CreateRunRecordOptions): RunRecord {
  const { maxAttempts, engines, livenessCheck: upstreamCheck } = options;
  const ranOn = new Map<string, UpstreamAddress>();
  let runsElsewhere = 0;

  function listPossiblyAlive(): UpstreamAddress[] {
    return [...ranOn.values()]
      .filter(({ engineId }) => !engines.hasEnded(engineId));
  }

  async function checkLiveness(upstream: UpstreamAddress): Promise<void> {
    const liveness = await upstreamCheck.check(upstream);
    if (liveness === "ended") engines.noteEnded(upstream.engineId);
  }

  return {
    note(upstream) {
      ranOn.set(upstream.engineId, upstream);
    },
    noteElsewhere() {
      runsElsewhere += 1;
    },
    mayRunElsewhere: () =>
      listPossiblyAlive().length + runsElsewhere < maxAttempts,
    async detectCrashes() {
      await Promise.all(listPossiblyAlive().map(checkLiveness));
    },
    describe: () =>
      [...ranOn.keys()].map((engineId) => ({
        engineId,
        isRegistered: engines.get(engineId) !== undefined,
        hasEnded: engines.hasEnded(engineId),
      })),
  };
}
