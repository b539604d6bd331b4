/**
 * Metrics: their catalogue and how they are sent.
 *
 * @module
 */

export * from "./create_metrics.ts";
export * from "./create_scraped_metrics.ts";
export * from "./metric_catalogue.ts";
