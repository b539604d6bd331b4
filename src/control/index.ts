/**
 * The control program: quorum replica, resource API, and entry sessions.
 *
 * @module
 */

export * from "./control_error.ts";
export * from "./create_replica.ts";
export * from "./start_control.ts";
export * from "./state_machine.ts";
export * from "./create_join_handler.ts";
export * from "./create_replica_host.ts";
export * from "./join_cluster.ts";
export * from "./keep_joined.ts";
