/**
 * Metrics over StatsD.
 *
 * @module
 */

import { StatsD } from "hot-shots";
import type {
  MetricName,
  RefusalReason,
  RetryReason,
} from "./metric_catalogue.ts";

/** Sends metrics; names are checked by the compiler. */
export interface Metrics extends AsyncDisposable {
  count(name: MetricName, value?: number): void;
  gauge(name: MetricName, value: number): void;
  timing(name: MetricName, valueMs: number): void;
  countRefusal(reason: RefusalReason): void;
  countRetry(reason: RetryReason): void;
  /** All counters since the start, by name; for tests and `/v1/counters`. */
  getCounters(): Readonly<Record<string, number>>;
}

/** Where metrics go. */
export interface CreateMetricsOptions {
  /** Host of the StatsD server; empty sends nothing. */
  readonly host?: string;
  readonly port?: number;
  /** Put before each name. */
  readonly prefix?: string;
}

/** Ms for which packets are gathered before they are sent. */
const FLUSH_INTERVAL_MS = 250;

/**
 * Makes the metrics of a program.
 *
 * @param options - Where they go.
 * @returns The metrics; disposing of them sends what is left.
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
  function countNamed(name: string, value = 1): void {
    counters.set(name, (counters.get(name) ?? 0) + value);
    client?.increment(name, value);
  }
  return {
    count: countNamed,
    gauge: (name, value) => client?.gauge(name, value),
    timing: (name, valueMs) => client?.timing(name, valueMs),
    countRefusal: (reason) => countNamed(`refusal.${reason}`),
    countRetry: (reason) => countNamed(`retry.${reason}`),
    getCounters: () => Object.fromEntries(counters),
    async [Symbol.asyncDispose]() {
      if (!client) return;
      await new Promise((resolve) => client.close(resolve));
    },
  };
}
