/**
 * The leader's tally of what all gateways' streams do, so that each gateway
 * decides by figures of the fleet: of hundreds, one alone sees a stream end once
 * a second while the fleet ends one each few ms.
 *
 * @module
 */

import type { FleetActivity, GatewayActivity } from "./messages.ts";

/** The tally. */
export interface ActivityTally {
  /** Takes what a gateway's streams did since it last told. */
  take(vm: string, activity: GatewayActivity): void;
  /** Forgets a gateway's waiting streams. */
  forget(vm: string): void;
  /** The fleet's figures of the last seconds, by service. */
  get(): FleetActivity;
}

/** Ms over which streams are counted: about the length of a stream. */
const WINDOW_MS = 2_000;

interface Counted {
  readonly atMs: number;
  readonly service: string;
  readonly asked: number;
  readonly ended: number;
}

/**
 * Makes the tally, empty.
 *
 * @param options - Monotonic time, in ms.
 * @returns The tally.
 * @throws Nothing.
 * @example
 * tally.take("vm-1", { advisor: { asked: 2, ended: 1, waiting: 0 } });
 */
export function createActivityTally(
  options: { readonly now: () => number },
): ActivityTally {
  const { now } = options;
  let counts: Counted[] = [];
  const waiting = new Map<string, ReadonlyMap<string, number>>();

  function dropOld(): void {
    const sinceMs = now() - WINDOW_MS;
    const from = counts.findIndex(({ atMs }) => atMs >= sinceMs);
    counts = from < 0 ? [] : counts.slice(from);
  }

  return {
    take(vm, activity) {
      const told = Object.entries(activity);
      for (const [service, { asked, ended }] of told) {
        if (asked + ended === 0) continue;
        counts.push({ atMs: now(), service, asked, ended });
      }
      waiting.set(
        vm,
        new Map(told.map(([service, one]) => [service, one.waiting])),
      );
    },
    forget: (vm) => void waiting.delete(vm),
    get() {
      dropOld();
      const sums: Record<string, FleetActivity[string]> = {};
      const getSum = (service: string) =>
        sums[service] ?? { askedPerS: 0, endedPerS: 0, waiting: 0 };
      for (const { service, asked, ended } of counts) {
        const sum = getSum(service);
        sums[service] = {
          ...sum,
          askedPerS: sum.askedPerS + asked * 1_000 / WINDOW_MS,
          endedPerS: sum.endedPerS + ended * 1_000 / WINDOW_MS,
        };
      }
      for (const services of waiting.values()) {
        for (const [service, count] of services) {
          const sum = getSum(service);
          sums[service] = { ...sum, waiting: sum.waiting + count };
        }
      }
      return sums;
    },
  };
}
