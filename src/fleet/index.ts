/**
 * Control plane of a fleet whose upstreams and gateways register themselves.
 *
 * @module
 */

export * from "./add_quarantine_routes.ts";
export * from "./create_engine_numbers.ts";
export * from "./create_engine_registry.ts";
export * from "./create_layer_controller.ts";
export * from "./create_fleet_state_machine.ts";
export * from "./create_pace_monitor.ts";
export * from "./create_retry_lender.ts";
export * from "./get_config_digest.ts";
export * from "./messages.ts";
export type { FleetSeed } from "./open_fleet_storage.ts";
export * from "./open_peer_listener.ts";
export * from "./pack_document.ts";
export * from "./run_fleet_control.ts";
export * from "./session_messages.ts";
export * from "./start_fleet_control.ts";
export * from "./sum_loads.ts";
