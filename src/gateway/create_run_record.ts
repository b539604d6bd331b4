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
  readonly engines: Pick<
    EngineTable,
    "get" | "hasEnded" | "isKnownEnded" | "isAddressTaken" | "noteEnded"
  >;
  readonly livenessCheck: Pick<LivenessCheck, "check">;
}

/** An upstream on which a call ran, for a log line. */
export interface DescribedRun {
  readonly engineId: string;
  readonly isRegistered: boolean;
  readonly hasEnded: boolean;
}

/** The upstreams on which one call has run. */
export interface RunRecord {
  /** Records that the call may be running on an upstream. */
  note(upstream: UpstreamAddress): void;
  /** Records that an upstream has ended the run. */
  noteBroken(upstream: UpstreamAddress): void;
  /** Records that the call ran on an upstream that only another gateway knows. */
  noteElsewhere(): void;
  /**
   * Whether the call may run on another upstream. Upstreams known to have ended don't
   * count.
   */
  mayRunElsewhere(): boolean;
  /**
   * Upstreams on which the call may run again, as this gateway ended their runs itself.
   * That takes none of the further upstreams that are allowed.
   */
  listReusable(): readonly string[];
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
  const brokenIds = new Set<string>();
  const unreachableIds = new Set<string>();
  let runsElsewhere = 0;

  // The leader also removes upstreams that are only suspended, and these go on. One
  // whose run is still open has to be checked.
  function hasEnded({ engineId }: UpstreamAddress): boolean {
    return engines.isKnownEnded(engineId) || unreachableIds.has(engineId) ||
      (brokenIds.has(engineId) && engines.hasEnded(engineId));
  }

  function listPossiblyAlive(): UpstreamAddress[] {
    return [...ranOn.values()].filter((upstream) => !hasEnded(upstream));
  }

  async function checkLiveness(upstream: UpstreamAddress): Promise<void> {
    const { engineId } = upstream;
    const liveness = await upstreamCheck.check(upstream);
    const isRemoved = engines.hasEnded(engineId);
    const isReplaced = isRemoved && engines.isAddressTaken(upstream);
    if (liveness === "ended" || isReplaced) engines.noteEnded(engineId);
    // A machine without power answers nothing; that of a suspended process accepts
    // connections.
    else if (liveness === "unknown" && isRemoved) unreachableIds.add(engineId);
  }

  return {
    note(upstream) {
      ranOn.set(upstream.engineId, upstream);
    },
    noteBroken(upstream) {
      ranOn.set(upstream.engineId, upstream);
      brokenIds.add(upstream.engineId);
    },
    noteElsewhere() {
      runsElsewhere += 1;
    },
    mayRunElsewhere: () =>
      listPossiblyAlive().length + runsElsewhere < maxAttempts,
    listReusable: () =>
      [...ranOn.keys()].filter((engineId) => !brokenIds.has(engineId)),
    async detectCrashes() {
      await Promise.all(listPossiblyAlive().map(checkLiveness));
    },
    describe: () =>
      [...ranOn.values()].map((upstream) => ({
        engineId: upstream.engineId,
        isRegistered: engines.get(upstream.engineId) !== undefined,
        hasEnded: hasEnded(upstream),
      })),
  };
}
