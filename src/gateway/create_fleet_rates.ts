/**
 * Rates at which the fleet's streams start and end, and the number that wait, as a
 * gateway knows them.
 *
 * @module
 */

import type { FleetActivity, GatewayActivity } from "../fleet/index.ts";

/** Dependencies of the rates. */
export interface CreateFleetRatesOptions {
  /** Mean interval, in ms, between the ends of this gateway's own streams. */
  readonly getOwnEndIntervalMs: () => number;
  /** Gateways that serve callers, including this one. */
  readonly getGatewayCount: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** The fleet's rates. */
export interface FleetRates {
  noteRequest(service: string): void;
  noteEnded(service: string): void;
  /** Counts a stream that waits for capacity, until the function returned is called. */
  beginWait(service: string): () => void;
  /** Takes this gateway's counts since the last call, for the report to the leader. */
  takeOwnActivity(): GatewayActivity;
  /** Replaces the fleet's figures by those of a report from the leader. */
  update(activity: FleetActivity): void;
  /** Mean interval, in ms, between the ends of the fleet's streams. */
  getEndIntervalMs(service: string): number;
  /** Streams that wait at other gateways. */
  getOthersWaiting(service: string): number;
  /** Streams requested from the fleet per second; undefined if unknown. */
  getRequestsPerS(service: string): number | undefined;
}

/**
 * Ms for which a report counts: the leader reports twice a second, and a new leader
 * only after a while.
 */
const MAX_REPORT_AGE_MS = 4_000;

interface OwnCounts {
  asked: number;
  ended: number;
  waiting: number;
}

/**
 * Creates the rates. Until the leader has reported any, this gateway's own streams are
 * taken as its even share of the fleet's.
 *
 * @param options - Values known without the leader.
 * @returns The rates.
 * @throws Nothing.
 * @example
 * const rates = createFleetRates(options);
 */
export function createFleetRates(options: CreateFleetRatesOptions): FleetRates {
  const { now } = options;
  const own = new Map<string, OwnCounts>();
  const reportedWaiting = new Map<string, number>();
  let lastReport: FleetActivity = {};
  let receivedMs = -Infinity;

  function getOwn(service: string): OwnCounts {
    const known = own.get(service);
    if (known) return known;
    const counts = { asked: 0, ended: 0, waiting: 0 };
    own.set(service, counts);
    return counts;
  }

  function getFreshReport(service: string): FleetActivity[string] | undefined {
    return now() - receivedMs < MAX_REPORT_AGE_MS
      ? lastReport[service]
      : undefined;
  }

  return {
    noteRequest(service) {
      getOwn(service).asked += 1;
    },
    noteEnded(service) {
      getOwn(service).ended += 1;
    },
    beginWait(service) {
      const counts = getOwn(service);
      counts.waiting += 1;
      let isWaiting = true;
      return () => {
        if (isWaiting) counts.waiting -= 1;
        isWaiting = false;
      };
    },
    takeOwnActivity() {
      const entries = [...own].map(([service, counts]) => {
        const taken = { ...counts };
        counts.asked = 0;
        counts.ended = 0;
        reportedWaiting.set(service, taken.waiting);
        return [service, taken] as const;
      });
      return Object.fromEntries(
        entries.filter(([, { asked, ended, waiting }]) =>
          asked + ended + waiting > 0
        ),
      );
    },
    update(activity) {
      lastReport = activity;
      receivedMs = now();
    },
    getEndIntervalMs(service) {
      const endedPerS = getFreshReport(service)?.endedPerS ?? 0;
      if (endedPerS > 0) return 1_000 / endedPerS;
      return options.getOwnEndIntervalMs() / options.getGatewayCount();
    },
    getOthersWaiting(service) {
      const waiting = getFreshReport(service)?.waiting ?? 0;
      return Math.max(0, waiting - (reportedWaiting.get(service) ?? 0));
    },
    getRequestsPerS: (service) => getFreshReport(service)?.askedPerS,
  };
}
