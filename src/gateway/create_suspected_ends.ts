/**
 * Upstreams that refused connections just after they began a request. A refusal may
 * come from a machine in between, so an end is logged only once the leader, which
 * receives the heartbeats, no longer lists the upstream.
 *
 * @module
 */

import type { Logger } from "../logs/index.ts";
import type { Metrics } from "../metrics/index.ts";

/** A run whose upstream refuses connections. */
export interface SuspectedEnd {
  readonly engineId: string;
  /** Fields of the log lines. */
  readonly fields: Readonly<Record<string, unknown>>;
}

/** Suspected ends of upstreams. */
export interface SuspectedEnds {
  /** Logs a suspected end, and its confirmation if the upstream is known to have ended. */
  note(suspected: SuspectedEnd): void;
  /** Logs the suspected ends of an upstream that is no longer registered as confirmed. */
  handleRemoved(engineId: string): void;
}

/**
 * Ms for which a suspicion waits for its confirmation. The leader removes a silent
 * upstream within 3.1 s at the usual heartbeat interval of 1.2 s, and later while it
 * receives no heartbeats at all.
 */
const SUSPICION_TTL_MS = 30_000;

/** Most suspicions kept; the oldest are dropped first. */
const MAX_SUSPICIONS = 500;

/**
 * Creates the list, without suspicions.
 *
 * @param options - Which upstreams are known to have ended, the clock, logs and metrics.
 * @returns The list.
 * @throws Nothing.
 * @example
 * suspectedEnds.note({ engineId, fields: { requestId, requestKey } });
 */
export function createSuspectedEnds(
  options: {
    /** Whether the upstream is no longer registered and serves nothing more. */
    readonly hasEnded: (engineId: string) => boolean;
    /** Monotonic time, in ms. */
    readonly now: () => number;
    readonly log: Logger;
    readonly metrics: Pick<Metrics, "count">;
  },
): SuspectedEnds {
  const { hasEnded, now, log, metrics } = options;
  let suspicions: (SuspectedEnd & { readonly atMs: number })[] = [];

  function confirm({ engineId, fields }: SuspectedEnd): void {
    metrics.count("upstream.ended_under_request");
    log("upstreamEnded", { ...fields, engineId });
  }

  return {
    note(suspected) {
      const { engineId, fields } = suspected;
      metrics.count("upstream.end_suspicions");
      log("upstreamEndSuspected", { ...fields, engineId });
      if (hasEnded(engineId)) return confirm(suspected);
      const fresh = suspicions.filter(({ atMs }) =>
        now() - atMs < SUSPICION_TTL_MS
      );
      suspicions = [...fresh, { ...suspected, atMs: now() }]
        .slice(-MAX_SUSPICIONS);
    },
    handleRemoved(engineId) {
      const taken = suspicions.filter((one) => one.engineId === engineId);
      if (taken.length === 0) return;
      suspicions = suspicions.filter((one) => one.engineId !== engineId);
      if (!hasEnded(engineId)) return;
      taken.filter(({ atMs }) => now() - atMs < SUSPICION_TTL_MS)
        .forEach(confirm);
    },
  };
}
