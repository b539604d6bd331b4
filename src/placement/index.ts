/**
 * Placement of a model's layers on engines, and its repair after engine failures.
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
