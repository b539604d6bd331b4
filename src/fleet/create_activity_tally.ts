/**
 * The leader's sums of the stream activity of all gateways, so that each gateway
 * decides by the rates of the whole fleet. One gateway among hundreds sees a stream end
 * about once a second, while in the fleet one ends every few ms.
 *
 * @module
 */

import type { FleetActivity, GatewayActivity } from "./messages.ts";

/** Sums of the stream activity of all gateways. */
export interface ActivityTally {
  /** Adds what a gateway's streams did since its last report. */
  add(vm: string, activity: GatewayActivity): void;
  /** Removes a gateway's waiting streams. */
  forget(vm: string): void;
  /** Gets the fleet's rates over the last window, by service. */
  get(): FleetActivity;
}

/** Ms over which streams are counted: about the duration of one stream. */
const WINDOW_MS = 2_000;

interface ActivitySample {
  readonly atMs: number;
  readonly service: string;
  readonly asked: number;
  readonly ended: number;
}

/**
 * Creates an empty tally.
 *
 * @param options - Monotonic time, in ms.
 * @returns The tally.
 * @throws Nothing.
 * @example
 * tally.add("vm-1", { advisor: { asked: 2, ended: 1, waiting: 0 } });
 */
export function createActivityTally(
  options: { readonly now: () => number },
): ActivityTally {
  const { now } = options;
  let samples: ActivitySample[] = [];
  const waiting = new Map<string, ReadonlyMap<string, number>>();

  function removeExpired(): void {
    const sinceMs = now() - WINDOW_MS;
    const from = samples.findIndex(({ atMs }) => atMs >= sinceMs);
    samples = from < 0 ? [] : samples.slice(from);
  }

  return {
    add(vm, activity) {
      const reported = Object.entries(activity);
      for (const [service, { asked, ended }] of reported) {
        if (asked + ended === 0) continue;
        samples.push({ atMs: now(), service, asked, ended });
      }
      waiting.set(
        vm,
        new Map(
          reported.map(([service, streams]) => [service, streams.waiting]),
        ),
      );
    },
    forget: (vm) => void waiting.delete(vm),
    get() {
      removeExpired();
      const sums: Record<string, FleetActivity[string]> = {};
      const getSum = (service: string) =>
        sums[service] ?? { askedPerS: 0, endedPerS: 0, waiting: 0 };
      for (const { service, asked, ended } of samples) {
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
