/**
 * Small stand-ins for external systems: engines, plain services, the platform.
 *
 * @module
 */

export * from "./engine_math.ts";
export * from "./make_wire_config.ts";
export * from "./start_engine.ts";
export * from "./start_layer_engine.ts";
export * from "./start_plain_service.ts";
export * from "./start_platform.ts";
