/**
 * Sends metrics over StatsD.
 *
 * @module
 */

import { StatsD } from "hot-shots";
import type {
  MetricName,
  RefusalReason,
  RetryReason,
} from "./metric_catalogue.ts";

/** Records metrics; the compiler checks their names. */
export interface Metrics extends AsyncDisposable {
  count(name: MetricName, value?: number): void;
  gauge(name: MetricName, value: number): void;
  timing(name: MetricName, valueMs: number): void;
  countRefusal(reason: RefusalReason): void;
  countRetry(reason: RetryReason): void;
  /** All counters since the process started, by name; for tests and `/v1/counters`. */
  getCounters(): Readonly<Record<string, number>>;
}

/** Options of {@link createMetrics}. */
export interface CreateMetricsOptions {
  /** Host of the StatsD server; if empty, nothing is sent. */
  readonly host?: string;
  readonly port?: number;
  /** Prefix of each name. */
  readonly prefix?: string;
}

/** Longest time for which metrics are buffered before they are sent, in ms. */
const FLUSH_INTERVAL_MS = 250;

/**
 * Creates the metrics of a program.
 *
 * @param options - The StatsD server and the prefix of names.
 * @returns The metrics; disposing of them flushes the buffer.
 * @throws Nothing.
 * @example
 * await using metrics = createMetrics({ host: "127.0.0.1", port: 8125 });
 * metrics.countRefusal("queue_full");
 */
export function createMetrics(options: CreateMetricsOptions = {}): Metrics {
  const { host = "", port = 8125, prefix = "crowlever." } = options;
  const client = host === "" ? undefined : new StatsD({
    host,
    port,
    prefix,
    maxBufferSize: 1_400,
    bufferFlushInterval: FLUSH_INTERVAL_MS,
    errorHandler: () => {},
  });
  const counters = new Map<string, number>();
  function increment(name: string, value = 1): void {
    counters.set(name, (counters.get(name) ?? 0) + value);
    client?.increment(name, value);
  }
  return {
    count: increment,
    gauge: (name, value) => client?.gauge(name, value),
    timing: (name, valueMs) => client?.timing(name, valueMs),
    countRefusal: (reason) => increment(`refusal.${reason}`),
    countRetry: (reason) => increment(`retry.${reason}`),
    getCounters: () => Object.fromEntries(counters),
    async [Symbol.asyncDispose]() {
      if (!client) return;
      await new Promise((resolve) => client.close(resolve));
    },
  };
}
