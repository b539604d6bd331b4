/**
 * Placement: where the layers of a model go, and how a loss is repaired.
 *
 * @module
 */

export * from "./get_engine_flow.ts";
export * from "./get_flow_bound.ts";
export * from "./get_placement_flow.ts";
export * from "./plan_model_placement.ts";
export * from "./plan_placement.ts";
export * from "./plan_repair.ts";
export * from "./types.ts";
