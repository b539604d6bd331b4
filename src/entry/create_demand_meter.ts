/**
 * Measures request rates by name.
 *
 * @module
 */

/** Measures request rates by name. */
export interface DemandMeter {
  count(name: string): void;
  /** Requests per second by name; names without recent requests are left out. */
  getRatesPerS(): Record<string, number>;
}

/** Options of {@link createDemandMeter}. */
export interface CreateDemandMeterOptions {
  /** Monotonic time, in ms. */
  readonly now: () => number;
  /** Time constant of the moving average, in ms. */
  readonly windowMs?: number;
}

/** Time constant of the moving average, in ms. */
const DEFAULT_WINDOW_MS = 2_000;

/** Rates below this, in requests per second, are dropped. */
const MIN_RATE_PER_S = 0.05;

interface Rate {
  perS: number;
  updatedMs: number;
}

/**
 * Creates a demand meter.
 *
 * Rates are exponentially weighted moving averages that decay when they are read, so
 * the meter needs no timer and unused names drop out.
 *
 * @param options - The clock and the time constant.
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
  const decay = (rate: Rate, nowMs: number) =>
    rate.perS * Math.exp((rate.updatedMs - nowMs) / windowMs);
  return {
    count(name) {
      const nowMs = now();
      const entry = rates.get(name) ?? { perS: 0, updatedMs: nowMs };
      entry.perS = decay(entry, nowMs) + 1_000 / windowMs;
      entry.updatedMs = nowMs;
      rates.set(name, entry);
    },
    getRatesPerS() {
      const nowMs = now();
      const ratesPerS: Record<string, number> = {};
      for (const [name, rate] of rates) {
        const decayed = decay(rate, nowMs);
        if (decayed < MIN_RATE_PER_S) rates.delete(name);
        // Rounded, so that small fluctuations don't change the grants of control.
        else ratesPerS[name] = Number(decayed.toPrecision(2));
      }
      return ratesPerS;
    },
  };
}
