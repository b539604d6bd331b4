/**
 * Pipelines: run every layer once per token, in order, over several stages.
 *
 * @module
 */

export * from "./create_pipeline.ts";
export * from "./is_complete_chain.ts";
export * from "./pipeline_error.ts";
export * from "./step_pipeline.ts";
export * from "./types.ts";
