/**
 * The upstreams on which one call has run.
 *
 * @module
 */

import type { EndCheck, UpstreamAddress } from "./create_end_check.ts";
import type { EngineTable } from "./create_engine_table.ts";

/** What a call's runs are counted by. */
export interface CreateRunRecordOptions {
  /** Upstreams on which the call may run. */
  readonly maxAttempts: number;
  readonly engines: Pick<EngineTable, "get" | "hasEnded" | "noteEnded">;
  readonly endCheck: EndCheck;
}

/** An upstream on which a call ran, for a log line. */
export interface DescribedRun {
  readonly engineId: string;
  readonly isRegistered: boolean;
  readonly hasEnded: boolean;
}

/** The upstreams on which one call has run. */
export interface RunRecord {
  /** Notes that the call ran there. */
  note(upstream: UpstreamAddress): void;
  /**
   * Whether the call may run on another upstream; those that have ended, as far as is
   * known, don't count.
   */
  mayRunElsewhere(): boolean;
  /** Finds out which of them have ended; never rejects. */
  checkEnds(): Promise<void>;
  describe(): readonly DescribedRun[];
}

/**
 * Makes the record of one call, empty.
 *
 * @param options - How many upstreams it may run on, and how their ends are known.
 * @returns The record.
 * @throws Nothing.
 * @example
 * const runRecord = createRunRecord({ maxAttempts, engines, endCheck });
 */
export function createRunRecord(options: CreateRunRecordOptions): RunRecord {
  const { maxAttempts, engines, endCheck } = options;
  const ranOn = new Map<string, UpstreamAddress>();

  function listCounted(): UpstreamAddress[] {
    return [...ranOn.values()]
      .filter(({ engineId }) => !engines.hasEnded(engineId));
  }

  async function checkEnd(upstream: UpstreamAddress): Promise<void> {
    const presence = await endCheck.check(upstream);
    if (presence === "ended") engines.noteEnded(upstream.engineId);
  }

  return {
    note(upstream) {
      ranOn.set(upstream.engineId, upstream);
    },
    mayRunElsewhere: () => listCounted().length < maxAttempts,
    async checkEnds() {
      await Promise.all(listCounted().map(checkEnd));
    },
    describe: () =>
      [...ranOn.keys()].map((engineId) => ({
        engineId,
        isRegistered: engines.get(engineId) !== undefined,
        hasEnded: engines.hasEnded(engineId),
      })),
  };
}
