/**
 * Distribution of a model's layers over engines, and paths through these engines.
 *
 * @module
 */

export * from "./find_gaps.ts";
export * from "./find_layer_path.ts";
export * from "./design_copies.ts";
export * from "./has_complete_copy.ts";
export * from "./layer_cover.ts";
export type { CoverDuringRedistribution as CoverDuringRedistribution } from "./choose_redistribution.ts";
export * from "./plan_layer_orders.ts";
export * from "./token_capacity.ts";
export * from "./types.ts";
