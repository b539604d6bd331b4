/**
 * How often the fleet's streams begin and end, and how many wait, as a gateway
 * knows it.
 *
 * @module
 */

import type { FleetActivity, GatewayActivity } from "../fleet/index.ts";

/** What the rates need. */
export interface CreateFleetRatesOptions {
  /** Mean time, in ms, between two ends of this gateway's own streams. */
  readonly getOwnEndIntervalMs: () => number;
  /** Gateways that take callers, this one included. */
  readonly getGatewayCount: () => number;
  /** Monotonic time, in ms. */
  readonly now: () => number;
}

/** The fleet's rates. */
export interface FleetRates {
  noteAsked(service: string): void;
  noteEnded(service: string): void;
  /** A stream waits for room until what is returned is called. */
  beginWait(service: string): () => void;
  /** What happened here since the last call; the leader is told so. */
  takeOwn(): GatewayActivity;
  /** Takes the fleet's figures, as the leader tells them. */
  take(activity: FleetActivity): void;
  /** Mean time, in ms, between two ends of the fleet's streams. */
  getEndIntervalMs(service: string): number;
  /** Streams that wait at other gateways. */
  getOthersWaiting(service: string): number;
  /** Streams that the fleet is asked for in a second; undefined if unknown. */
  getAskedPerS(service: string): number | undefined;
}

/**
 * Ms for which what the leader told counts: it tells twice a second, and a new
 * one only after a while.
 */
const TOLD_AGE_MS = 4_000;

interface OwnCounts {
  asked: number;
  ended: number;
  waiting: number;
}

/**
 * Makes the rates. Until the leader has told any, what this gateway sees by
 * itself stands for its part of the fleet.
 *
 * @param options - What is known without the leader.
 * @returns The rates.
 * @throws Nothing.
 * @example
 * const rates = createFleetRates(options);
 */
export function createFleetRates(options: CreateFleetRatesOptions): FleetRates {
  const { now } = options;
  const own = new Map<string, OwnCounts>();
  const toldWaiting = new Map<string, number>();
  let told: FleetActivity = {};
  let toldMs = -Infinity;

  function getOwn(service: string): OwnCounts {
    const known = own.get(service);
    if (known) return known;
    const counts = { asked: 0, ended: 0, waiting: 0 };
    own.set(service, counts);
    return counts;
  }

  function getTold(service: string): FleetActivity[string] | undefined {
    return now() - toldMs < TOLD_AGE_MS ? told[service] : undefined;
  }

  return {
    noteAsked(service) {
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
    takeOwn() {
      const entries = [...own].map(([service, counts]) => {
        const taken = { ...counts };
        counts.asked = 0;
        counts.ended = 0;
        toldWaiting.set(service, taken.waiting);
        return [service, taken] as const;
      });
      return Object.fromEntries(
        entries.filter(([, { asked, ended, waiting }]) =>
          asked + ended + waiting > 0
        ),
      );
    },
    take(activity) {
      told = activity;
      toldMs = now();
    },
    getEndIntervalMs(service) {
      const endedPerS = getTold(service)?.endedPerS ?? 0;
      if (endedPerS > 0) return 1_000 / endedPerS;
      return options.getOwnEndIntervalMs() / options.getGatewayCount();
    },
    getOthersWaiting(service) {
      const waiting = getTold(service)?.waiting ?? 0;
      return Math.max(0, waiting - (toldWaiting.get(service) ?? 0));
    },
    getAskedPerS: (service) => getTold(service)?.askedPerS,
  };
}
