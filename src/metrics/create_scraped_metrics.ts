/**
 * Metrics that are read over HTTP in the text form of Prometheus.
 *
 * @module
 */

import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { Metrics } from "./create_metrics.ts";
import {
  type MetricName,
  METRICS,
  REFUSAL_REASONS,
  RETRY_REASONS,
} from "./metric_catalogue.ts";

/** Metrics with their text. */
export interface ScrapedMetrics extends Metrics {
  /** Type of the text, for the Content-Type header. */
  readonly contentType: string;
  format(): Promise<string>;
}

/** Bounds of the latency histograms, in ms: from a local hop to a deadline. */
const BUCKETS_MS = [1, 2, 5, 10, 25, 50, 100, 200, 500, 1_000, 2_500, 10_000];

/**
 * Makes the metrics of a program; names follow the catalogue, with
 * underscores and a prefix.
 *
 * @returns The metrics.
 * @throws Nothing.
 * @example
 * const metrics = createScrapedMetrics();
 * metrics.countRefusal("no_upstream");
 */
export function createScrapedMetrics(): ScrapedMetrics {
  const registry = new Registry();
  const registers = [registry];
  const refusals = new Counter({
    name: "crowlever_refusals_total",
    help: Object.keys(REFUSAL_REASONS).join(", "),
    labelNames: ["reason"],
    registers,
  });
  const retries = new Counter({
    name: "crowlever_retries_total",
    help: Object.keys(RETRY_REASONS).join(", "),
    labelNames: ["reason"],
    registers,
  });
  const made = new Map<string, Counter | Gauge | Histogram>();
  const counters = new Map<string, number>();

  function get<Kind extends Counter | Gauge | Histogram>(
    name: MetricName,
    make: (options: { name: string; help: string }) => Kind,
  ): Kind {
    const known = made.get(name);
    if (known) return known as Kind;
    const fullName = `crowlever_${name.replaceAll(".", "_")}`;
    const created = make({ name: fullName, help: METRICS[name] });
    made.set(name, created);
    return created;
  }

  function note(name: string, value = 1): void {
    counters.set(name, (counters.get(name) ?? 0) + value);
  }

  return {
    contentType: registry.contentType,
    format: () => registry.metrics(),
    count(name, value = 1) {
      note(name, value);
      get(name, (named) => new Counter({ ...named, registers })).inc(value);
    },
    gauge: (name, value) =>
      get(name, (named) => new Gauge({ ...named, registers })).set(value),
    timing: (name, valueMs) =>
      get(
        name,
        (named) => new Histogram({ ...named, buckets: BUCKETS_MS, registers }),
      ).observe(valueMs),
    countRefusal(reason) {
      note(`refusal.${reason}`);
      refusals.inc({ reason });
    },
    countRetry(reason) {
      note(`retry.${reason}`);
      retries.inc({ reason });
    },
    getCounters: () => Object.fromEntries(counters),
    async [Symbol.asyncDispose]() {},
  };
}
