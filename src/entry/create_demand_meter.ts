/**
 * Meters how often things are asked for.
 *
 * @module
 */

/** Meters demand by name. */
export interface DemandMeter {
  count(name: string): void;
  /** Requests a second by name; those not asked for lately are left out. */
  getPerS(): Record<string, number>;
}

/** Options of {@link createDemandMeter}. */
export interface CreateDemandMeterOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Time, in ms, over which the demand is averaged. */
  readonly windowMs?: number;
}

/** Time, in ms, over which the demand is averaged. */
const DEFAULT_WINDOW_MS = 2_000;

/** Demand below this, in requests a second, counts as none. */
const LEAST_PER_S = 0.05;

interface Rate {
  perS: number;
  updatedMs: number;
}

/**
 * Makes a meter.
 *
 * Each request adds to an average that fades with time, so that the meter
 * needs no timer and a name that is no longer asked for fades away.
 *
 * @param options - The time and the window.
 * @returns The meter.
 * @throws Nothing.
 * @example
 * const meter = createDemandMeter({ now });
 * meter.count("dock");
 */
export function createDemandMeter(
  options: CreateDemandMeterOptions,
): DemandMeter {
  const { now, windowMs = DEFAULT_WINDOW_MS } = options;
  const rates = new Map<string, Rate>();
  const fade = (rate: Rate, nowMs: number) =>
    rate.perS * Math.exp((rate.updatedMs - nowMs) / windowMs);
  return {
    count(name) {
      const nowMs = now();
      const known = rates.get(name) ?? { perS: 0, updatedMs: nowMs };
      known.perS = fade(known, nowMs) + 1_000 / windowMs;
      known.updatedMs = nowMs;
      rates.set(name, known);
    },
    getPerS() {
      const nowMs = now();
      const perS: Record<string, number> = {};
      for (const [name, rate] of rates) {
        const faded = fade(rate, nowMs);
        if (faded < LEAST_PER_S) rates.delete(name);
        // Rounded, so that what control grants does not change without need.
        else perS[name] = Number(faded.toPrecision(2));
      }
      return perS;
    },
  };
}
