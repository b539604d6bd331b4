/**
 * Metrics that are scraped over HTTP in the text format of Prometheus.
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

/** Metrics that can be formatted for a scrape. */
export interface ScrapedMetrics extends Metrics {
  /** Media type of the formatted text, for the Content-Type header. */
  readonly contentType: string;
  format(): Promise<string>;
}

/** Buckets of the latency histograms, in ms: from a local hop to a deadline. */
const BUCKETS_MS = [1, 2, 5, 10, 25, 50, 100, 200, 500, 1_000, 2_500, 10_000];

/**
 * Creates the metrics of a program. Names are those of the catalogue, with dots
 * replaced by underscores and the prefix `crowlever_`.
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
  const collectors = new Map<string, Counter | Gauge | Histogram>();
  const counters = new Map<string, number>();

  function getOrCreate<Kind extends Counter | Gauge | Histogram>(
    name: MetricName,
    create: (options: { name: string; help: string }) => Kind,
  ): Kind {
    const existing = collectors.get(name);
    if (existing) return existing as Kind;
    const fullName = `crowlever_${name.replaceAll(".", "_")}`;
    const created = create({ name: fullName, help: METRICS[name] });
    collectors.set(name, created);
    return created;
  }

  function addToCounter(name: string, value = 1): void {
    counters.set(name, (counters.get(name) ?? 0) + value);
  }

  return {
    contentType: registry.contentType,
    format: () => registry.metrics(),
    count(name, value = 1) {
      addToCounter(name, value);
      getOrCreate(name, (named) => new Counter({ ...named, registers }))
        .inc(value);
    },
    gauge: (name, value) =>
      getOrCreate(name, (named) => new Gauge({ ...named, registers })).set(
        value,
      ),
    timing: (name, valueMs) =>
      getOrCreate(
        name,
        (named) => new Histogram({ ...named, buckets: BUCKETS_MS, registers }),
      ).observe(valueMs),
    countRefusal(reason) {
      addToCounter(`refusal.${reason}`);
      refusals.inc({ reason });
    },
    countRetry(reason) {
      addToCounter(`retry.${reason}`);
      retries.inc({ reason });
    },
    getCounters: () => Object.fromEntries(counters),
    async [Symbol.asyncDispose]() {},
  };
}
